import type { ServerResponse } from 'node:http';
import { createSeededRandom } from '@burdockrail/common/seededRandom.js';
import { sendJson } from './standinServer.js';

/** Fields that all faults have. */
export interface FaultBase {
  readonly kind: string;
  /** Number of times that the fault occurs; unlimited by default. */
  readonly times?: number;
  /** Probability that the fault occurs each time that it could, 0 to 1; 1 by default. */
  readonly share?: number;
}

/** The server names a limit in its answers, in requests per second; it keeps none itself. */
export interface LimitFault {
  readonly kind: 'limit';
  readonly requestsPerSecond: number;
}

/** The server says in its answers that it leaves. */
export interface LeavingFault {
  readonly kind: 'leaving';
}

/** The server refuses requests and names the time for which it wants no more. */
export interface RestFault {
  readonly kind: 'rest';
  readonly seconds: number;
}

/** Faults that are a notice of a server about itself. */
export type NoticeFault = FaultBase & (LimitFault | LeavingFault | RestFault);

const REFUSED_STATUS = 503;

/** Headers of an answer under `limit` and `leaving` faults; none without one. */
export function noticeHeaders(
  limit: LimitFault | undefined,
  leaving: LeavingFault | undefined,
): Readonly<Record<string, string>> {
  return {
    ...(limit === undefined ? {} : { 'x-requests-per-second': String(limit.requestsPerSecond) }),
    ...(leaving === undefined ? {} : { 'x-leaving': '1' }),
  };
}

/** Refuses a request under a `rest` fault. */
export function sendRest(response: ServerResponse, { seconds }: RestFault): void {
  sendJson(response, REFUSED_STATUS, { error: 'rest' }, { 'retry-after': String(seconds) });
}

/** Faults that a test has set for a stand-in. */
export interface FaultSet<Fault extends FaultBase> {
  /** Replaces all faults. */
  replace(faults: readonly Fault[]): void;
  /** Returns the first fault of the kind that occurs now, and counts down its `times`. */
  consume<Kind extends Fault['kind']>(
    kind: Kind,
    applies?: (fault: Extract<Fault, { readonly kind: Kind }>) => boolean,
  ): Extract<Fault, { readonly kind: Kind }> | undefined;
}

const DEFAULT_SEED = 1;

/** Creates an empty set; the seed determines which faults with a `share` occur. */
export function createFaultSet<Fault extends FaultBase>(seed = DEFAULT_SEED): FaultSet<Fault> {
  const random = createSeededRandom(seed);
  let entries: { readonly fault: Fault; remaining: number }[] = [];
  return {
    replace: (faults) => {
      entries = faults.map((fault) => ({ fault, remaining: fault.times ?? Infinity }));
    },
    consume: <Kind extends Fault['kind']>(
      kind: Kind,
      applies?: (fault: Extract<Fault, { readonly kind: Kind }>) => boolean,
    ) => {
      for (const entry of entries) {
        if (entry.fault.kind !== kind || entry.remaining <= 0) continue;
        const fault = entry.fault as Extract<Fault, { readonly kind: Kind }>;
        if (applies !== undefined && !applies(fault)) continue;
        if (fault.share !== undefined && random.next() >= fault.share) continue;
        entry.remaining -= 1;
        return fault;
      }
      return undefined;
    },
  };
}
