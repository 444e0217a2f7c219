//! In-memory table and object store, and a driver that runs commits against them.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
use shallottack_config::{
    Catalog, Change, Class, Delta, LatencyTarget, Resource, ResourceKey, Route, Service, Version,
    WriteId,
    commit::{
        ChangeRow, Commit, HEAD_KEY, HeadRead, Outcome, Request, Settings, Step, Transaction,
        change_key, decode,
    },
};

#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Platform {
    pub rows: Arc<BTreeMap<String, (u64, Vec<u8>)>>,
    pub objects: Arc<BTreeMap<String, Vec<u8>>>,
    pub revision: u64,
}

impl Platform {
    pub fn transact(&mut self, transaction: &Transaction) -> Result<(), String> {
        for condition in &transaction.conditions {
            if self.rows.get(&condition.key).map(|it| it.0) != condition.revision {
                return Err(condition.key.clone());
            }
        }
        self.revision += 1;
        for write in &transaction.writes {
            Arc::make_mut(&mut self.rows)
                .insert(write.key.clone(), (self.revision, write.value.clone()));
        }
        Ok(())
    }

    pub fn head(&self) -> Option<HeadRead> {
        let (revision, value) = self.rows.get(HEAD_KEY)?;
        Some(HeadRead { revision: *revision, head: decode(value).unwrap() })
    }

    pub fn version(&self) -> Version {
        self.head().map_or(Version::ZERO, |it| it.head.version)
    }

    pub fn changes(&self, from: Version, to: Version) -> Vec<ChangeRow> {
        let rows = self.rows.range(change_key(from.seq + 1)..=change_key(to.seq));
        rows.map(|(_, (_, value))| decode(value).unwrap()).collect()
    }

    /// Returns the catalog at the head by applying every delta in order, as a daemon does.
    pub fn catalog(&self) -> Catalog {
        let mut catalog = Catalog::default();
        for row in self.changes(Version::ZERO, self.version()) {
            let delta: Delta = decode(&self.objects[&row.object]).unwrap();
            catalog = catalog.apply(&delta).expect("a committed delta applies");
        }
        catalog
    }

    /// Carries out a step without faults and returns its outcome.
    pub fn answer(&mut self, step: &Step) -> Outcome {
        match step {
            Step::ReadHead => Outcome::Head(self.head()),
            Step::ReadWriteRow { key } => {
                Outcome::WriteRow(self.rows.get(key).map(|(_, value)| decode(value).unwrap()))
            }
            Step::ReadChanges { from, to } => Outcome::Changes(self.changes(*from, *to)),
            Step::LoadCatalog { .. } => Outcome::Catalog(Arc::new(self.catalog())),
            Step::PutObject { name, body } => {
                Arc::make_mut(&mut self.objects).insert(name.clone(), body.clone());
                Outcome::Stored
            }
            Step::Transact(transaction) => match self.transact(transaction) {
                Ok(()) => Outcome::Committed,
                Err(key) => Outcome::Conflict { key },
            },
            Step::Wait(_) => Outcome::Waited,
            Step::Done(_) | Step::Failed(_) => panic!("the commit has ended"),
        }
    }

    /// Runs a request to completion.
    pub fn run(&mut self, request: Request) -> Step {
        self.run_with(request, |platform, step| platform.answer(step))
    }

    /// Runs a request to completion, with the outcome of each step given by `answer`.
    pub fn run_with(
        &mut self,
        request: Request,
        mut answer: impl FnMut(&mut Platform, &Step) -> Outcome,
    ) -> Step {
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let mut commit = Commit::new(request, Settings::default());
        let mut step = commit.start();
        let mut waited = Duration::ZERO;
        while !matches!(step, Step::Done(_) | Step::Failed(_)) {
            if let Step::Wait(wait) = step {
                waited += wait;
            }
            assert!(waited <= Duration::from_secs(8), "the waits of a commit are bounded");
            let outcome = answer(self, &step);
            step = commit.handle(&mut rng, outcome);
        }
        step
    }
}

pub fn class(name: &str) -> Resource {
    Resource::Class(Class {
        name: name.parse().unwrap(),
        latency: LatencyTarget { quantile: 0.99, within: Duration::from_millis(20) },
        failures: 0.001,
        deadline: Duration::from_millis(800),
        idempotent: true,
    })
}

pub fn service(name: &str, group: &str) -> Resource {
    Resource::Service(Service { name: name.parse().unwrap(), group: group.parse().unwrap() })
}

pub fn route(name: &str, class: &str, service: &str) -> Resource {
    Resource::Route(Route {
        name: name.parse().unwrap(),
        prefix: format!("/{name}"),
        methods: ["GET".to_owned()].into_iter().collect(),
        class: class.parse().unwrap(),
        service: service.parse().unwrap(),
    })
}

pub fn change(id: &str, base: Version, upserts: &[Resource], removes: &[ResourceKey]) -> Change {
    Change { id: WriteId(id.into()), base, upserts: upserts.to_vec(), removes: removes.to_vec() }
}

pub fn request(change: Change) -> Request {
    Request { change, operator: "lina".into(), dry_run: false, repeat: false }
}
