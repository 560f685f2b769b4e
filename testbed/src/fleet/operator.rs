//! What an operator does to a fleet: its configuration, its states.

use std::fs;
use std::process::Command;
use std::time::Instant;

use super::Fleet;
use super::OPERATOR_KEY;
use super::POLL;
use super::Plan;
use super::READY;
use super::WORKSPACE_KEY;
use super::programs;
use super::wait_for;

/// Configuration of a fleet with engines.
const ENGINES: &str = r#"
[service.wigeon-pool]
kind = "engine"
fencing = true

[model.contract-desk]
service = "wigeon-pool"
"#;

/// Configuration of a fleet with replicas of the plain service.
const SERVICES: &str = r#"
[service.crew-portal]
kind = "plain"
"#;

impl Fleet {
    /// Writes the configuration folder.
    pub(super) fn write_config(&self, plan: &Plan) -> anyhow::Result<()> {
        let folder = self.dir.join("config");
        fs::create_dir_all(&folder)?;
        let hash = blake3::hash(WORKSPACE_KEY.as_bytes()).to_hex();
        let mut base = format!("[workspace.demo]\nkey_hash = \"{hash}\"\n");
        if plan.engines > 0 {
            base.push_str(ENGINES);
        }
        if plan.services > 0 {
            base.push_str(SERVICES);
        }
        fs::write(folder.join("10-base.toml"), base)?;
        if !plan.config.is_empty() {
            fs::write(folder.join("50-plan.toml"), &plan.config)?;
        }
        Ok(())
    }

    /// Runs the command line with these arguments; its output.
    pub fn cli(&self, args: &[&str]) -> anyhow::Result<std::process::Output> {
        let controls = self
            .processes
            .iter()
            .filter(|p| p.name.starts_with("control-"));
        let urls: Vec<String> = controls.map(|p| format!("http://{}", p.http)).collect();
        let output = Command::new(programs()?.join("wigeonbarrow"))
            .args(args)
            .env("WIGEONBARROW_URL", urls.join(","))
            .env("WIGEONBARROW_OPERATOR_KEY", OPERATOR_KEY)
            .output()?;
        Ok(output)
    }

    /// Applies the fleet's configuration folder, as an operator does.
    pub async fn apply_config(&self) -> anyhow::Result<()> {
        let folder = self.dir.join("config");
        let folder = folder.to_string_lossy().into_owned();
        let until = Instant::now() + READY;
        loop {
            let output = self.cli(&["config", "apply", &folder])?;
            if output.status.success() {
                return Ok(());
            }
            let text = String::from_utf8_lossy(&output.stderr).into_owned();
            anyhow::ensure!(Instant::now() < until, "config apply: {text}");
            tokio::time::sleep(POLL).await;
        }
    }

    /// Replaces the plan's configuration and waits until it is in force everywhere.
    pub async fn reconfigure(&self, text: &str) -> anyhow::Result<()> {
        fs::write(self.dir.join("config").join("50-plan.toml"), text)?;
        self.apply_config().await?;
        let newest = self.revisions("control-").await;
        let newest = newest.into_iter().flatten().max().unwrap_or(0);
        wait_for("the configuration everywhere", || async {
            let all = self.revisions("").await;
            all.into_iter().all(|revision| revision >= Some(newest))
        })
        .await
    }

    /// The revisions in force at the product's processes whose names begin with `prefix`; `None`
    /// for those that do not answer.
    pub async fn revisions(&self, prefix: &str) -> Vec<Option<u64>> {
        let http = reqwest::Client::new();
        let product = self.processes.iter().filter(|p| p.link.is_some());
        let asked = product
            .filter(|p| p.name.starts_with(prefix))
            .map(|process| {
                let url = format!("http://{}/admin/v1/status", process.http);
                let request = http.get(url).bearer_auth(OPERATOR_KEY);
                async move {
                    let answer = request.timeout(READY).send().await.ok()?;
                    let status: serde_json::Value = answer.json().await.ok()?;
                    status["revision"].as_u64()
                }
            });
        rocket::futures::future::join_all(asked).await
    }

    /// Waits until `/readyz` of every process of a role says yes.
    pub async fn ready(&self, role: &str) -> anyhow::Result<()> {
        let http = reqwest::Client::new();
        for process in self.processes.iter().filter(|p| p.name.starts_with(role)) {
            let url = format!("http://{}/readyz", process.http);
            wait_for(&format!("{} ready", process.name), || {
                let request = http.get(&url).send();
                async move {
                    request
                        .await
                        .is_ok_and(|answer| answer.status().is_success())
                }
            })
            .await?;
        }
        Ok(())
    }

    /// Waits until every entry lists every backend server.
    pub(super) async fn serving(&self, plan: &Plan) -> anyhow::Result<()> {
        let http = reqwest::Client::new();
        let expected = plan.engines + plan.services;
        for url in self.urls() {
            let url = format!("{url}/admin/v1/servers");
            wait_for(&format!("{expected} backend servers at {url}"), || {
                let request = http.get(&url).bearer_auth(OPERATOR_KEY).send();
                async move {
                    let Ok(answer) = request.await else {
                        return false;
                    };
                    let list: Vec<serde_json::Value> = answer.json().await.unwrap_or_default();
                    list.len() >= expected
                }
            })
            .await?;
        }
        Ok(())
    }
}
