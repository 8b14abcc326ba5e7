export const KEY = 'jnbanfqasnmgkcuyj8pj';
export const HOST = 'hulo84.example';
export const SERVICE = 'wuno96b';

/** A configuration with one plain service, as an operator sends it. */
export function createConfiguration(version, extraRoutes = [], maximumConnections = 105) {
  const route = (name, prefix, type, timeout) => ({
    name,
    host: HOST,
    path_prefix: prefix,
    route_type: type,
    timeout_ms: timeout,
    target_latency_ms: 195,
    priority: 2,
    service: SERVICE,
    attempts: type === 'idempotent' ? 2 : 1,
    auth_exempt: false,
  });
  return {
    version,
    routes: [
      route('r-log', '/log/', 'non_idempotent', 6000),
      route('r-look', '/look/', 'idempotent', 800),
      ...extraRoutes.map((name) => route(`r-${name}`, `/${name}/`, 'idempotent', 800)),
    ],
    services: [
      {
        name: SERVICE,
        health_path: '/health',
        max_connections: maximumConnections,
        protocol: 'h1',
        tls: false,
      },
    ],
    limits: {
      max_header_bytes: 16384,
      max_body_bytes: 4194304,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15000,
    },
    tenants: [{ name: 'bozi300', api_keys: [KEY], priority: 1 }],
  };
}
