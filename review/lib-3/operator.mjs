import { performance } from 'node:perf_hooks';
import { setTimeout as pause } from 'node:timers/promises';
import { send } from './http.mjs';

export const KEY = 'jnbanfqasnmgkcuyj8pj';
export const TENANT = 'bozi300';
export const MODEL = 'daka510000';
export const STREAM = { host: 'jepu9.example', path: '/lepu270/2f' };
export const PLAIN = { host: 'voka93.example', path: '/filo73/de11/2f' };

/** Routes and services of a small deployment, with the figures of the sheet of jangada-rail. */
export function configuration({
  version,
  originAddress,
  plainType = 'non_idempotent',
  plainAttempts = 1,
}) {
  return {
    version,
    routes: [
      {
        name: 'r-stream',
        host: STREAM.host,
        path_prefix: '/lepu270/',
        route_type: 'streaming',
        timeout_ms: 6000,
        target_latency_ms: 502,
        priority: 1,
        service: 'engines',
        attempts: 2,
        auth_exempt: false,
        session_affinity: true,
        stream_resume: true,
        gap_aim_ms: 400,
      },
      {
        name: 'r-plain',
        host: PLAIN.host,
        path_prefix: '/filo73/de11/',
        route_type: plainType,
        timeout_ms: 800,
        target_latency_ms: 100,
        priority: 2,
        service: 'till',
        attempts: plainAttempts,
        auth_exempt: false,
        session_affinity: false,
        stream_resume: false,
      },
    ],
    services: [
      {
        name: 'engines',
        health_path: '/health',
        max_connections: 609,
        protocol: 'h1',
        tls: false,
        engine: {
          slots: 16,
          kv_capacity: 1180000,
          kv_token_bytes: 163840,
          link_mbps: 400000.0,
          stride: 5,
          models: [{ name: MODEL, pace: 1.0, load_s: 4.0, warm_s: 0.3 }],
          mb: 266000.0,
          adapter_slots: 8,
          loads_per_s: 0.0,
          step_ms: 8.87,
          per_seq_ms: 0.0388,
          context_per_k: 0.0227,
          read_per_s: 19100.0,
          pairs_per_m: 1.47,
          chunk: 2048,
          report_lag_ms: 200.0,
          loads_at_once: 8,
          delays: [],
          usual: { prompt: 977, answer: 94 },
          layers: 16,
          layer_mb: 4540.0,
          act_bytes: 16384,
          pipe_mbps: 0.0,
          chunks: 96,
          chunk_bytes: 24576,
        },
      },
      {
        name: 'weights',
        origin: originAddress,
        zone: 'north-a',
        link_mbps: 7.3,
        max_connections: 103,
      },
      { name: 'till', health_path: '/health', max_connections: 244, protocol: 'h1', tls: false },
    ],
    limits: {
      max_header_bytes: 16384,
      max_body_bytes: 4194304,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15000,
    },
    tenants: [{ name: TENANT, api_keys: [KEY], priority: 1 }],
  };
}

/** Sends a configuration to one control process after the other until one acknowledges it. */
export async function putConfiguration(controls, content, timeout = 20_000) {
  const endsAt = performance.now() + timeout;
  for (let attempt = 0; performance.now() < endsAt; attempt += 1) {
    const { status } = await send({
      address: controls[attempt % controls.length],
      method: 'PUT',
      path: '/burdockrail/config',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(content),
    });
    if (status === 200) return true;
    await pause(200);
  }
  return false;
}
