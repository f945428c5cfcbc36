const HOST = 'soak.example';

/** The operators' configuration of a soak, on the wire. */
export default function createConfiguration(version: number, groupSize: number): object {
  const route = (name: string, type: string, service: string, attempts: number) => ({
    name,
    host: HOST,
    prefix: `/${name}/`,
    route_type: type,
    timeout_ms: 4_000,
    target_latency_ms: 300,
    priority: 1,
    max_attempts: attempts,
    service,
  });
  return {
    version,
    routes: [
      route('safe', 'idempotent', 'plain', 2),
      route('once', 'non_idempotent', 'plain', 1),
      { ...route('stream', 'streaming', 'model', 2), stream_resume: true, gap_aim_ms: 300 },
    ],
    services: [
      { name: 'plain', max_connections: 200 },
      {
        name: 'model',
        max_connections: 200,
        engine: {
          slots: 8,
          models: [{ name: 'm0', size: groupSize, pace: 1 }],
          loads_per_s: 20,
          read_per_s: 50_000,
          step_ms: 10,
          per_seq_ms: 0.1,
          stride: 2,
          report_lag_ms: 0,
        },
      },
    ],
    limits: {
      max_header_bytes: 16_384, max_body_bytes: 100_000, header_timeout_ms: 5_000, idle_timeout_ms: 10_000,
    },
    tenants: [{ name: 'team-a', api_keys: ['key-a'] }],
  };
}
