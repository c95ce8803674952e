//! Learned capacity in the answers of an engine: only where the settings ask for it.

#![allow(clippy::unwrap_used)]

use std::sync::Arc;

use cuminarch_config::Policy;
use cuminarch_engine::{Engine, EngineSettings};
use cuminarch_types::{CapacityMode, MonoTime};
use rstest::rstest;

#[rstest]
#[case::stated(CapacityMode::Stated, None)]
#[case::learned(CapacityMode::Learned, Some(0))]
fn summary_states_capacity_only_where_it_is_learned(
    #[case] mode: CapacityMode,
    #[case] confidence_milli: Option<u32>,
) {
    let settings = EngineSettings::new(
        "kasse-1".parse().unwrap(),
        "kasse".parse().unwrap(),
        "zone-0".parse().unwrap(),
        "ch-central".parse().unwrap(),
    );
    let settings = settings.with_slot_admission().with_capacity(mode);
    let engine = Engine::new(settings, Arc::new(Policy::safe_default()));
    let summary = engine.summary(MonoTime::ZERO);
    assert_eq!(summary.capacity_confidence_milli, confidence_milli);
    assert!(summary.endpoint_capacities.is_empty());
}
