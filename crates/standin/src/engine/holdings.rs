//! Models, versions, adapters and role of the engine's stand-in.

use std::time::Duration;

use auburnline_core::id::ModelId;
use auburnline_engine::Action;
use auburnline_engine::Holdings;
use auburnline_engine::order::Role;
use auburnline_engine::wire::Holding;
use tokio::time::Instant;

/// A model with its adapters.
#[derive(Debug)]
struct Loaded {
    model: ModelId,
    version: String,
    adapters: Vec<String>,
    ready: Instant,
}

/// What the engine holds.
#[derive(Debug)]
pub(crate) struct Held {
    models: Vec<Loaded>,
    /// Whether any model is served, until the first order.
    any: bool,
    role: Role,
    load_time: Duration,
}

impl Held {
    pub(crate) fn new(models: &[(ModelId, String)], load_time: Duration, now: Instant) -> Self {
        let loaded = |(model, version): &(ModelId, String)| Loaded {
            model: model.clone(),
            version: version.clone(),
            adapters: Vec::new(),
            ready: now,
        };
        Self {
            models: models.iter().map(loaded).collect(),
            any: models.is_empty(),
            role: Role::default(),
            load_time,
        }
    }

    pub(crate) fn serves(&self, model: &str, now: Instant) -> bool {
        let mut ready = self.models.iter().filter(|loaded| loaded.ready <= now);
        self.any || ready.any(|loaded| &*loaded.model == model)
    }

    pub(crate) fn told(&self, now: Instant) -> Holdings {
        let holding = |loaded: &Loaded| Holding {
            model: loaded.model.clone(),
            version: loaded.version.clone(),
            adapters: loaded.adapters.clone(),
            ready: loaded.ready <= now,
        };
        Holdings {
            models: self.models.iter().map(holding).collect(),
            role: self.role,
        }
    }

    /// Takes an order about models, adapters or the role.
    pub(crate) fn order(&mut self, action: &Action, now: Instant) -> Result<(), u16> {
        match action {
            Action::LoadModel { model, version } => self.load(model, version, now),
            Action::UnloadModel { model, version } => self
                .models
                .retain(|loaded| loaded.model != *model || loaded.version != *version),
            Action::LoadAdapter { model, adapter } => {
                let ready = now + self.load_time;
                let loaded = self.find(model).ok_or(404u16)?;
                if !loaded.adapters.contains(adapter) {
                    loaded.adapters.push(adapter.clone());
                    loaded.ready = loaded.ready.max(ready);
                }
            }
            Action::UnloadAdapter { model, adapter } => {
                let loaded = self.find(model).ok_or(404u16)?;
                loaded.adapters.retain(|held| held != adapter);
            }
            Action::ChangeRole { role } => self.role = *role,
            Action::Rank { .. } => return Err(400),
        }
        self.any = false;
        Ok(())
    }

    fn load(&mut self, model: &ModelId, version: &str, now: Instant) {
        let same = |loaded: &Loaded| loaded.model == *model && loaded.version == version;
        if !self.models.iter().any(same) {
            self.models.push(Loaded {
                model: model.clone(),
                version: version.to_owned(),
                adapters: Vec::new(),
                ready: now + self.load_time,
            });
        }
    }

    fn find(&mut self, model: &str) -> Option<&mut Loaded> {
        let mut models = self.models.iter_mut();
        models.find(|loaded| &*loaded.model == model)
    }
}
