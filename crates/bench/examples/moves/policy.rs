//! The policies that are measured: the decisions, and two simple ones.

use std::collections::BTreeMap;

use shallottack_kernel::{GroupName, RouteName, ServiceName, Time};
use shallottack_moves::{
    Decision, Evidence, MoveController, MoveRequest, MoveRow, Settings, Transition,
};

use crate::world::World;

pub enum Act {
    Nothing,
    Share(f64),
    Back,
    Finish,
}

/// A policy that is measured.
pub enum Policy {
    Core {
        core: Box<MoveController>,
        row: Box<MoveRow>,
        settings: Settings,
        epoch: u64,
    },
    Threshold {
        steps: &'static [f64],
        step: usize,
        changed: u64,
        seen: BTreeMap<RouteName, Vec<(u64, u64, u64, u64)>>,
    },
}

impl Policy {
    pub fn new(which: usize, world: &World) -> Policy {
        let steps: &[f64] = match which {
            0 => return Policy::core(world),
            1 => &[0.01, 0.1, 0.5, 1.0],
            _ => &[1.0],
        };
        Policy::Threshold { steps, step: 0, changed: 0, seen: BTreeMap::new() }
    }

    pub fn core(world: &World) -> Policy {
        let settings = Settings::default();
        let group = |text| GroupName::new(text).expect("a name");
        let request = MoveRequest {
            service: ServiceName::new("moved").expect("a name"),
            old: group("v1"),
            new: group("v2"),
            deadline: Time(world.deadline),
        };
        let Transition::Write(row) = MoveRow::start(None, request, &settings, Time(0)) else {
            unreachable!("a service without a row can be moved")
        };
        let core = Box::new(MoveController::new(settings.clone(), &world.classes()));
        Policy::Core { core, row: Box::new(row), settings, epoch: 1 }
    }

    pub fn replace_holder(&mut self, world: &World) {
        if let Policy::Core { core, settings, epoch, .. } = self {
            **core = MoveController::new(settings.clone(), &world.classes());
            *epoch += 1;
        }
    }

    pub fn paused(&self) -> bool {
        matches!(self, Policy::Core { core, .. } if core.is_paused())
    }

    pub fn shares(&self, now: u64, share: f64, routes: usize) -> Vec<f64> {
        match self {
            Policy::Core { core, row, .. } => {
                let named: BTreeMap<_, _> = core.shares(Time(now), row).into_iter().collect();
                // Routes are listed in the order of their names.
                named.into_values().collect()
            }
            Policy::Threshold { .. } => vec![share; routes],
        }
    }

    pub fn decide(&mut self, now: u64, evidence: &Evidence, world: &World) -> Act {
        match self {
            Policy::Core { core, row, settings, epoch } => {
                core.observe(Time(now), row, evidence);
                let decision = core.decide(Time(now), row);
                let next = decision.transition(row, *epoch, settings, Time(now));
                let (Transition::Write(next) | Transition::Fenced(next)) = next else {
                    return Act::Nothing;
                };
                **row = next;
                match decision {
                    Decision::Raise { share, .. } => Act::Share(share),
                    Decision::RollBack { .. } => Act::Back,
                    Decision::Finish => Act::Finish,
                    Decision::Hold | Decision::ReportAtRisk { .. } => Act::Nothing,
                }
            }
            Policy::Threshold { steps, step, changed, seen } => {
                for (name, it) in &evidence.routes {
                    let list = seen.entry(name.clone()).or_default();
                    let new = it.new_total(&[]);
                    list.push((now, new.calls, new.failures, new.slow));
                    list.retain(|it| now - it.0 <= 10_000_000);
                }
                for class in world.classes() {
                    let Some(list) = seen.get(&class.route) else { continue };
                    let sum = |it: fn(&(u64, u64, u64, u64)) -> u64| {
                        list.iter().map(it).sum::<u64>() as f64
                    };
                    let (calls, failures, slow) = (sum(|it| it.1), sum(|it| it.2), sum(|it| it.3));
                    let over =
                        failures > 2.0 * class.failures * calls || slow > 2.0 * class.slow * calls;
                    if *step > 0 && calls >= 20.0 && over {
                        return Act::Back;
                    }
                }
                let dwell = (world.deadline as f64 * 0.6 / steps.len() as f64) as u64;
                if *step > 0 && now < *changed + dwell {
                    return Act::Nothing;
                }
                *step += 1;
                *changed = now;
                match steps.get(*step - 1) {
                    Some(&share) => Act::Share(share),
                    None if *step == steps.len() + 1 => Act::Finish,
                    None => Act::Nothing,
                }
            }
        }
    }
}
