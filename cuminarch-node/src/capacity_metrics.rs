use cuminarch_engine::EngineSummary;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct EndpointLabels {
    endpoint: String,
}

/// Gauges of what is learned of the capacity of endpoints. Without learned capacity, there are no
/// series by endpoint.
#[derive(Clone, Debug, Default)]
pub struct CapacityMetrics {
    confidence_milli: Gauge,
    limit: Family<EndpointLabels, Gauge>,
    speed_milli: Family<EndpointLabels, Gauge>,
    report_age_ms: Family<EndpointLabels, Gauge>,
}

impl CapacityMetrics {
    pub fn register(registry: &mut Registry) -> Self {
        let metrics = Self::default();
        let help = "Evidence for the learned limit of the own upstream, in thousandths";
        registry.register("capacity_confidence_milli", help, metrics.confidence_milli.clone());
        let entries = [
            ("endpoint_limit", "Limit that an endpoint reported last", &metrics.limit),
            ("endpoint_speed_milli", "Speed relative to the service", &metrics.speed_milli),
            ("endpoint_report_age_ms", "Age of the last report", &metrics.report_age_ms),
        ];
        for (name, help, family) in entries {
            registry.register(name, help, family.clone());
        }
        metrics
    }

    pub fn set(&self, summary: &EngineSummary) {
        self.confidence_milli.set(summary.capacity_confidence_milli.unwrap_or_default().into());
        for family in [&self.limit, &self.speed_milli, &self.report_age_ms] {
            family.clear();
        }
        for known in &summary.endpoint_capacities {
            let labels = EndpointLabels { endpoint: known.endpoint.as_str().to_owned() };
            self.limit.get_or_create(&labels).set(known.limit.get().into());
            self.speed_milli.get_or_create(&labels).set(known.speed_milli.into());
            let age_ms = i64::try_from(known.age_ms).unwrap_or(i64::MAX);
            self.report_age_ms.get_or_create(&labels).set(age_ms);
        }
    }
}
