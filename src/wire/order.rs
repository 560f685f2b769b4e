//! Orders to backend servers. Each carries a fencing number drawn from the quorum.

key! {
    /// What is ordered.
    #[serde(rename_all = "snake_case")]
    pub enum Kind {
        /// Load a model's weights.
        LoadModel,
        /// Drop a model.
        UnloadModel,
        /// Load an adapter.
        LoadAdapter,
        /// Drop an adapter.
        UnloadAdapter,
        /// Change the engine's role.
        SetRole,
    }
}

data! {
    /// An order to one backend server.
    pub struct Order {
        /// Fencing number. An older one than the sidecar or the backend server knows is refused.
        pub fence: u64,
        /// The backend server.
        pub server: String,
        /// What to do.
        pub kind: Kind,
        /// Name of the model, adapter or role.
        pub name: String,
    }
}

impl Kind {
    /// Whether it draws weights from the rate-limited store.
    pub fn draws_weights(self) -> bool {
        matches!(self, Self::LoadModel | Self::LoadAdapter)
    }
}
