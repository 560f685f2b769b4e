//! Draws time to first token by length class as an SVG.

use std::fmt::Write;

use super::report;

const WIDTH: f64 = 720.0;
const HEIGHT: f64 = 400.0;
const LEFT: f64 = 70.0;
const BOTTOM: f64 = 50.0;
const TOP: f64 = 40.0;
const COLORS: [&str; 6] = [
    "#1b6ca8", "#c8553d", "#3d8361", "#7a4fa3", "#b08900", "#555555",
];

/// One line in the plot.
#[derive(Clone, Debug, PartialEq)]
pub struct Series {
    /// Its name.
    pub name: String,
    /// Milliseconds by length class.
    pub points: Vec<(usize, f64)>,
}

/// The percentiles of a report, those of direct requests too.
pub fn series(report: &report::Report, prefix: &str) -> Vec<Series> {
    type Pick = fn(&report::Times) -> f64;
    let picks: [(&str, Pick); 3] = [("p50", |t| t.p50), ("p95", |t| t.p95), ("p99", |t| t.p99)];
    let ways = [("", &report.classes), ("direct ", &report.direct)];
    let mut all = Vec::new();
    for (way, groups) in ways {
        for (name, pick) in picks {
            let right = groups.iter().filter(|(_, group)| group.right > 0);
            let points: Vec<_> = right.map(|(c, g)| (*c, pick(&g.first))).collect();
            if !points.is_empty() {
                let name = format!("{prefix}{way}{name}");
                all.push(Series { name, points });
            }
        }
    }
    all
}

/// The plot, with a logarithmic scale of time.
pub fn svg(title: &str, series: &[Series]) -> String {
    let values = || {
        series
            .iter()
            .flat_map(|s| s.points.iter().map(|(_, ms)| ms.max(0.1)))
    };
    let low = values().fold(f64::MAX, f64::min).log10().floor();
    let high = values()
        .fold(f64::MIN, f64::max)
        .log10()
        .ceil()
        .max(low + 1.0);
    let step = (WIDTH - LEFT - 20.0) / (report::CLASSES.len() - 1) as f64;
    let x = |class: usize| LEFT + class as f64 * step;
    let y = |ms: f64| {
        let part = (ms.max(0.1).log10() - low) / (high - low);
        HEIGHT - BOTTOM - part * (HEIGHT - BOTTOM - TOP)
    };
    let mut out = String::new();
    let _ = writeln!(
        out,
        r#"<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" height="{HEIGHT}" font-family="sans-serif" font-size="12">"#
    );
    let _ = writeln!(out, r#"<rect width="100%" height="100%" fill="white"/>"#);
    let _ = writeln!(
        out,
        r#"<text x="{LEFT}" y="18" font-size="14">{title}</text>"#
    );
    for power in low as i32..=high as i32 {
        let ms = 10f64.powi(power);
        let y = y(ms);
        let _ = writeln!(
            out,
            r##"<line x1="{LEFT}" x2="{:.0}" y1="{y:.1}" y2="{y:.1}" stroke="#dddddd"/><text x="4" y="{:.1}">{ms} ms</text>"##,
            WIDTH - 20.0,
            y + 4.0
        );
    }
    for class in 0..report::CLASSES.len() {
        let name = report::name(class)
            .replace('<', "&lt;")
            .replace('>', "&gt;");
        let _ = writeln!(
            out,
            r#"<text x="{:.1}" y="{:.1}" text-anchor="middle">{name}</text>"#,
            x(class),
            HEIGHT - BOTTOM + 18.0
        );
    }
    for (index, line) in series.iter().enumerate() {
        let color = COLORS[index % COLORS.len()];
        let points: Vec<_> = line.points.iter().map(|(c, ms)| (x(*c), y(*ms))).collect();
        let path: Vec<_> = points
            .iter()
            .map(|(x, y)| format!("{x:.1},{y:.1}"))
            .collect();
        let _ = writeln!(
            out,
            r#"<polyline fill="none" stroke="{color}" stroke-width="1.5" points="{}"/>"#,
            path.join(" ")
        );
        for (x, y) in points {
            let _ = writeln!(
                out,
                r#"<circle cx="{x:.1}" cy="{y:.1}" r="3" fill="{color}"/>"#
            );
        }
        let _ = writeln!(
            out,
            r#"<text x="{:.0}" y="{:.0}" fill="{color}">{}</text>"#,
            LEFT + 10.0,
            TOP + 14.0 * (index as f64 + 1.0),
            line.name
        );
    }
    out.push_str("</svg>\n");
    out
}
