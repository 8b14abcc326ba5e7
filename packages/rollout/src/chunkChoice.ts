import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type { ChunkDuties } from './chunkDuties.js';

/** An agent that may pass on chunks of a version. */
export interface ChunkHolder {
  readonly agent: string;
  readonly region: string;
  /** Chunks that it said it holds. */
  readonly held: ReadonlySet<number>;
  /** Fetches from it that are in progress. */
  readonly busy: number;
  /** Time until its link is free, as it said last and as fetches since have added, in milliseconds. */
  readonly queuedMilliseconds: number;
}

/** A place to fetch a chunk from. */
export type ChunkSource =
  { readonly kind: 'origin' } | { readonly kind: 'agent'; readonly agent: string };

/** A fetch to begin. */
export interface ChunkFetch {
  readonly chunk: number;
  readonly source: ChunkSource;
}

/** What the choice of the next fetch depends on. */
export interface ChunkQuestion {
  readonly region: string;
  readonly duties: ChunkDuties;
  /** Chunks that are neither held nor being fetched, in an order of this agent's own. */
  readonly missing: readonly number[];
  /** Other agents that take part. */
  readonly others: readonly ChunkHolder[];
  /** Fetches from the origin that are in progress. */
  readonly fromOrigin: number;
  /** False for a while after the origin failed. */
  readonly mayAskOrigin: boolean;
  /** Time since this agent began to fetch, or since the last chunk came. */
  readonly idleMilliseconds: Milliseconds;
}

/**
 * Fetches of one agent from the origin at the same time.
 *
 * All agents share its thin link, and a chunk that comes whole sooner is passed on sooner.
 */
const ORIGIN_FETCHES = 1;

/** Fetches from one other agent at the same time: one goes out while the other is asked for. */
const FETCHES_FROM_AGENT = 2;

/** Time without a chunk after which the next in the order of owners takes over, in milliseconds. */
const TAKEOVER_MILLISECONDS = 350;

const patience = (place: number): Milliseconds => place * TAKEOVER_MILLISECONDS;

/** The holder whose link is free soonest; `undefined` when all are busy with this agent already. */
function soonest(holders: readonly ChunkHolder[]): ChunkHolder | undefined {
  let best: ChunkHolder | undefined;
  for (const holder of holders) {
    if (holder.busy >= FETCHES_FROM_AGENT) continue;
    if (best === undefined || holder.queuedMilliseconds < best.queuedMilliseconds) best = holder;
  }
  return best;
}

function fromAgent(chunk: number, holder: ChunkHolder | undefined): ChunkFetch | null {
  if (holder === undefined) return null;
  return { chunk, source: { kind: 'agent', agent: holder.agent } };
}

/** How many agents hold a chunk, and those in the own region. */
interface Spread {
  readonly chunk: number;
  readonly near: readonly ChunkHolder[];
  readonly far: readonly ChunkHolder[];
}

function spreadOf(question: ChunkQuestion, chunk: number): Spread {
  const holders = question.others.filter(({ held }) => held.has(chunk));
  return {
    chunk,
    near: holders.filter(({ region }) => region === question.region),
    far: holders.filter(({ region }) => region !== question.region),
  };
}

function originDuty(question: ChunkQuestion, spreads: readonly Spread[]): ChunkFetch | null {
  if (!question.mayAskOrigin || question.fromOrigin >= ORIGIN_FETCHES) return null;
  const due = spreads.find(
    ({ chunk, near, far }) =>
      near.length + far.length === 0 &&
      question.idleMilliseconds >= patience(question.duties.of(chunk).amongAll),
  );
  return due === undefined ? null : { chunk: due.chunk, source: { kind: 'origin' } };
}

function crossingDuty(question: ChunkQuestion, spreads: readonly Spread[]): ChunkFetch | null {
  for (const { chunk, near, far } of spreads) {
    if (near.length > 0 || far.length === 0) continue;
    if (question.idleMilliseconds < patience(question.duties.of(chunk).inRegion)) continue;
    const fetch = fromAgent(chunk, soonest(far));
    if (fetch !== null) return fetch;
  }
  return null;
}

function nearCopy(spreads: readonly Spread[]): ChunkFetch | null {
  const held = spreads.filter(({ near }) => near.length > 0);
  for (const { chunk, near } of held.sort((left, right) => left.near.length - right.near.length)) {
    const fetch = fromAgent(chunk, soonest(near));
    if (fetch !== null) return fetch;
  }
  return null;
}

/**
 * Chooses the next chunk to fetch and where from; `null` when nothing can be fetched now.
 *
 * @remarks
 * Answers a version that is named while links are thin. One agent fetches each chunk from the
 * origin, one agent in each further region fetches it from another region, and all others fetch it
 * inside their region from whoever can send it soonest. What others wait for goes first: the chunks
 * that only this agent fetches from the origin, then those that it brings into its region, then the
 * rarest. Agents that got nothing for a while take over one after the other for owners that are lost
 * or slow.
 */
export function nextChunkFetch(question: ChunkQuestion): ChunkFetch | null {
  const spreads = question.missing.map((chunk) => spreadOf(question, chunk));
  return originDuty(question, spreads) ?? crossingDuty(question, spreads) ?? nearCopy(spreads);
}
