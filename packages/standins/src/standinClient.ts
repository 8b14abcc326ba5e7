import { request } from 'undici';
import type { EngineCounts, EngineFault } from './engineFaults.js';
import type { OriginCounts, OriginFault } from './originServer.js';
import type { PlainCounts, PlainFault } from './plainServer.js';
import type { WeightStoreCounts, WeightStoreFault } from './weightStoreServer.js';
import type { WeightVersion } from './weightContent.js';

/** Reads the counts and sets the faults of one stand-in over HTTP. */
export interface StandinClient<Counts, Fault> {
  readonly url: string;
  counts(): Promise<Counts>;
  /** Replaces all faults of the stand-in. */
  faults(faults: readonly Fault[]): Promise<void>;
  crash(downMilliseconds?: number): Promise<void>;
}

/** Counts and current state of an engine. */
export type EngineReport = EngineCounts & {
  readonly digest: string | null;
  readonly running: number;
  readonly waiting: number;
};

export type EngineClient = StandinClient<EngineReport, EngineFault>;
export type PlainClient = StandinClient<PlainCounts, PlainFault>;
export type OriginClient = StandinClient<OriginCounts, OriginFault>;
export type WeightStoreClient = StandinClient<WeightStoreCounts, WeightStoreFault>;

async function post(url: string, value: unknown): Promise<void> {
  const answer = await request(url, { method: 'POST', body: JSON.stringify(value) });
  await answer.body.dump();
  if (answer.statusCode !== 200)
    throw new Error(`POST ${url} answered with status ${answer.statusCode}`);
}

/** Creates a client for the control paths of a stand-in. */
export function createStandinClient<Counts, Fault>(url: string): StandinClient<Counts, Fault> {
  return {
    url,
    counts: async () => {
      const answer = await request(`${url}/control/counts`);
      return (await answer.body.json()) as Counts;
    },
    faults: async (faults) => post(`${url}/control/faults`, faults),
    crash: async (downMilliseconds) =>
      post(`${url}/control/crash`, downMilliseconds === undefined ? {} : { downMilliseconds }),
  };
}

/** Adds a version to a weight store and the origin that shares its catalogue. */
export async function addVersion(weightStoreUrl: string, version: WeightVersion): Promise<void> {
  await post(`${weightStoreUrl}/control/versions`, version);
}
