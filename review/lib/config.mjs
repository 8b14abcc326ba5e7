// The operator's config: one streaming route to engines, one idempotent and one non-idempotent
// route to a plain service, with the values of the site pus-stalowki where they matter.
export const MODEL = 'model-a';
export const KEY = 'key-aaaaaaaaaaaaaaaa';

export function buildConfig({
  version = 1,
  origin = '',
  keys = [KEY],
  chunks = 96,
  layers = 16,
  attempts = 2,
  onceAttempts = 1,
  idleMilliseconds = 15_000,
} = {}) {
  const route = (name, prefix, type, service, extra) => ({
    name,
    host: 'a.example',
    path_prefix: prefix,
    route_type: type,
    timeout_ms: 800,
    target_latency_ms: 150,
    priority: 2,
    service,
    attempts,
    auth_exempt: false,
    ...extra,
  });
  const engine = {
    slots: 16,
    kv_capacity: 1180000,
    kv_token_bytes: 163840,
    link_mbps: 400000,
    stride: 5,
    models: [{ name: MODEL, pace: 1, load_s: 4, warm_s: 0.3 }],
    mb: 266000,
    step_ms: 8.87,
    per_seq_ms: 0.0388,
    context_per_k: 0.0227,
    read_per_s: 19100,
    pairs_per_m: 1.47,
    chunk: 2048,
    report_lag_ms: 200,
    loads_at_once: 8,
    usual: { prompt: 977, answer: 94 },
    layers,
    layer_mb: 4540,
    chunks,
    chunk_bytes: 24576,
  };
  return {
    version,
    routes: [
      route('stream', '/stream/', 'streaming', 'engines', {
        timeout_ms: 6000,
        target_latency_ms: 400,
        priority: 1,
        session_affinity: true,
        stream_resume: true,
        gap_aim_ms: 400,
      }),
      route('safe', '/safe/', 'idempotent', 'app', {}),
      route('once', '/once/', 'non_idempotent', 'app', { attempts: onceAttempts }),
    ],
    services: [
      {
        name: 'engines',
        health_path: '/health',
        max_connections: 609,
        protocol: 'h1',
        tls: false,
        engine,
      },
      { name: 'app', health_path: '/health', max_connections: 105, protocol: 'h1', tls: false },
      ...(origin === ''
        ? []
        : [{ name: 'store', origin, zone: 'north', link_mbps: 7.3, max_connections: 103 }]),
    ],
    limits: {
      max_header_bytes: 16384,
      max_body_bytes: 4194304,
      header_timeout_ms: 3000,
      idle_timeout_ms: idleMilliseconds,
    },
    tenants: [{ name: 'tenant-a', api_keys: keys, priority: 1 }],
  };
}
