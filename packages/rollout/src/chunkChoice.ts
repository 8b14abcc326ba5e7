import { rendezvousOrder } from '@burdockrail/common/rendezvousHash.js';
import type { Milliseconds } from '@burdockrail/common/timeSource.js';

/** An agent that may pass on chunks of a version. */
export interface ChunkHolder {
  readonly agent: string;
  readonly region: string;
  /** Chunks that it said it holds. */
  readonly held: ReadonlySet<number>;
  /** Fetches from it that are in progress. */
  readonly busy: number;
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
  readonly self: string;
  readonly region: string;
  /** Names model and version. */
  readonly set: string;
  /** Chunks that are neither held nor being fetched. */
  readonly missing: readonly number[];
  /** Other agents that take part. */
  readonly others: readonly ChunkHolder[];
  /** Fetches from the origin that are in progress. */
  readonly fromOrigin: number;
  /** Time since this agent began to fetch, or since the last chunk came. */
  readonly idleMilliseconds: Milliseconds;
}

/** Fetches of one agent from the origin at the same time. */
const ORIGIN_FETCHES = 2;

/** Fetches from one other agent at the same time: its link is as thin as the own one. */
const FETCHES_FROM_AGENT = 1;

/** Time without a chunk after which the next in the order of owners takes over, in milliseconds. */
const TAKEOVER_MILLISECONDS = 350;

function leastBusy(holders: readonly ChunkHolder[]): ChunkHolder | undefined {
  const free = holders.filter(({ busy }) => busy < FETCHES_FROM_AGENT);
  return free.toSorted((left, right) => left.busy - right.busy)[0];
}

function agentSource(holder: ChunkHolder): ChunkSource {
  return { kind: 'agent', agent: holder.agent };
}

/** Members in the order in which they are responsible for a chunk. */
function owners(question: ChunkQuestion, chunk: number): readonly ChunkHolder[] {
  const { self, region, others, set } = question;
  const own: ChunkHolder = { agent: self, region, held: new Set(), busy: 0 };
  return rendezvousOrder(`${set} ${chunk}`, [...others, own], ({ agent }) => agent);
}

function sourceOf(question: ChunkQuestion, chunk: number): ChunkSource | null {
  const { self, region, others } = question;
  const holders = others.filter(({ held }) => held.has(chunk));
  const near = holders.filter((holder) => holder.region === region);
  if (near.length > 0) {
    const chosen = leastBusy(near);
    return chosen === undefined ? null : agentSource(chosen);
  }
  const order = owners(question, chunk);
  const patience = (place: number): number => place * TAKEOVER_MILLISECONDS;
  const placeIn = (members: readonly ChunkHolder[]): number =>
    members.findIndex(({ agent }) => agent === self);
  const regionOrder = order.filter((holder) => holder.region === region);
  const mayCross = question.idleMilliseconds >= patience(placeIn(regionOrder));
  if (holders.length > 0) {
    const chosen = mayCross ? leastBusy(holders) : undefined;
    return chosen === undefined ? null : agentSource(chosen);
  }
  const isOwner = question.idleMilliseconds >= patience(placeIn(order));
  const mayAsk = isOwner && question.fromOrigin < ORIGIN_FETCHES;
  return mayAsk ? { kind: 'origin' } : null;
}

/**
 * Chooses the next chunk to fetch and where from; `null` when nothing can be fetched now.
 *
 * @remarks
 * Answers a version that is named while links are thin. One agent fetches each chunk from the
 * origin, one agent in each further region fetches it from another region, and all others fetch it
 * inside their region from whoever holds it. All agents compute the same plan, so no message is
 * needed to agree on it. Agents that got
 * nothing for a while take over one after the other for owners that are lost or slow.
 */
export function nextChunkFetch(question: ChunkQuestion): ChunkFetch | null {
  for (const chunk of question.missing) {
    const source = sourceOf(question, chunk);
    if (source !== null) return { chunk, source };
  }
  return null;
}
