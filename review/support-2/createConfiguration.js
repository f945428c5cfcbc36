import NAMES from './NAMES.js';

/** An operators' configuration in the format of `fleetbench wire`. */
export default function createConfiguration({ readTimeoutMilliseconds = 8_000 } = {}) {
  const common = {
    host: NAMES.host, priority: 1, max_attempts: 2, allow_anonymous: false,
  };
  const service = {
    health_path: '/healthz', protocol: 'h1', tls: false, cold_start_s: 0, cold_per_s: 0,
  };
  return {
    version: 7,
    routes: [
      {
        ...common,
        name: 'r-stream',
        prefix: '/stream/',
        route_type: 'streaming',
        timeout_ms: 8_000,
        target_latency_ms: 400,
        service: NAMES.models,
        session_affinity: true,
        stream_resume: true,
        gap_aim_ms: 250,
      },
      {
        ...common,
        name: 'r-read',
        prefix: '/read/',
        route_type: 'idempotent',
        timeout_ms: readTimeoutMilliseconds,
        target_latency_ms: 400,
        service: NAMES.plain,
      },
      {
        ...common,
        name: 'r-book',
        prefix: '/book/',
        route_type: 'non_idempotent',
        timeout_ms: 1_500,
        target_latency_ms: 100,
        service: NAMES.plain,
      },
    ],
    services: [
      {
        ...service,
        name: NAMES.models,
        max_connections: 344,
        engine: {
          slots: 18,
          kv_capacity_tokens: 1_710_000,
          kv_token_bytes: 50_752,
          link_mbps: 400_000,
          stride: 6,
          models: [{
            name: NAMES.model, size: 2, share: 1, pace: 1, load_s: 3, warm_s: 0.5,
          }],
          step_ms: 6.45,
          per_seq_ms: 0.14,
          context_per_k: 0.0042,
          read_per_s: 56_100,
          pairs_per_m: 0.309,
          chunk: 2_048,
          report_lag_ms: 200,
          loads_per_s: 5.5,
          loads_at_once: 8,
          delays: [],
          usual: { prompt: 1_115, answer: 152 },
          keeps: 1,
          far_x: 4,
          form_ms: 300,
        },
      },
      { ...service, name: NAMES.plain, max_connections: 110 },
    ],
    limits: {
      max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3_000, idle_timeout_ms: 15_000,
    },
    tenants: [{ name: 'hule930', api_keys: [NAMES.key], priority: 1 }],
  };
}
