import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type { ChunkRanking } from './chunkRanking.js';

/** An agent that can send chunks of a version, with the state of its link. */
export interface ChunkHolder {
  readonly agent: string;
  readonly region: string;
  /** Chunks that it last reported to hold. */
  readonly held: ReadonlySet<number>;
  /** Fetches by this agent from it that are in progress. */
  readonly fetchesInProgress: number;
  /** Time until its link is free: last reported, plus fetches since then, in milliseconds. */
  readonly queuedMilliseconds: number;
}

/** Where a chunk is fetched from. */
export type ChunkSource =
  { readonly kind: 'origin' } | { readonly kind: 'agent'; readonly agent: string };

/** A fetch to start. */
export interface ChunkFetch {
  readonly chunk: number;
  readonly source: ChunkSource;
}

/** Input of {@link nextChunkFetch}. */
export interface ChunkFetchContext {
  readonly region: string;
  readonly ranking: ChunkRanking;
  /** Chunks that are neither held nor being fetched, in an order that differs between agents. */
  readonly missing: readonly number[];
  /** Other agents that take part. */
  readonly others: readonly ChunkHolder[];
  /** Fetches by this agent from the origin that are in progress. */
  readonly originFetchesInProgress: number;
  /** False during the backoff after a failed fetch from the origin. */
  readonly mayFetchFromOrigin: boolean;
  /** Time since any agent obtained a chunk that none had, or since this agent began to fetch. */
  readonly originStalledMilliseconds: Milliseconds;
  /** The same for chunks that none in this region had. */
  readonly regionStalledMilliseconds: Milliseconds;
}

/**
 * Concurrent fetches of one agent from the origin.
 *
 * All agents share the origin's narrow link; with fewer chunks in flight each one completes sooner and
 * can be passed on sooner.
 */
const MAXIMUM_ORIGIN_FETCHES = 1;

/** Concurrent fetches from one other agent: one is sent while the next is being requested. */
const MAXIMUM_FETCHES_PER_AGENT = 2;

/**
 * Time without any new chunk, per rank, after which an agent takes over a chunk from its owner, in
 * milliseconds.
 */
const TAKEOVER_MILLISECONDS = 350;

const takeoverDelay = (rank: number): Milliseconds => rank * TAKEOVER_MILLISECONDS;

/**
 * Queue of a holder's link beyond which no further chunk is requested from it, in milliseconds: about
 * two chunks. A request behind a long queue keeps the requester from asking whoever is free first, and
 * times out when more requests join the queue.
 */
const MAXIMUM_QUEUE_MILLISECONDS = 150;

/** The holder whose link is free first; `undefined` when all are at their limits. */
function leastQueuedHolder(holders: readonly ChunkHolder[]): ChunkHolder | undefined {
  let best: ChunkHolder | undefined;
  for (const holder of holders) {
    if (holder.fetchesInProgress >= MAXIMUM_FETCHES_PER_AGENT) continue;
    if (holder.queuedMilliseconds > MAXIMUM_QUEUE_MILLISECONDS) continue;
    if (best === undefined || holder.queuedMilliseconds < best.queuedMilliseconds) best = holder;
  }
  return best;
}

function fetchFromHolder(chunk: number, holder: ChunkHolder | undefined): ChunkFetch | null {
  if (holder === undefined) return null;
  return { chunk, source: { kind: 'agent', agent: holder.agent } };
}

/** Holders of a chunk, in the own region and in others. */
interface ChunkAvailability {
  readonly chunk: number;
  readonly sameRegion: readonly ChunkHolder[];
  readonly otherRegions: readonly ChunkHolder[];
}

function availabilityOf(context: ChunkFetchContext, chunk: number): ChunkAvailability {
  const holders = context.others.filter(({ held }) => held.has(chunk));
  return {
    chunk,
    sameRegion: holders.filter(({ region }) => region === context.region),
    otherRegions: holders.filter(({ region }) => region !== context.region),
  };
}

function originFetch(
  context: ChunkFetchContext,
  chunks: readonly ChunkAvailability[],
): ChunkFetch | null {
  if (!context.mayFetchFromOrigin || context.originFetchesInProgress >= MAXIMUM_ORIGIN_FETCHES)
    return null;
  const next = chunks.find(
    ({ chunk, sameRegion, otherRegions }) =>
      sameRegion.length + otherRegions.length === 0 &&
      context.originStalledMilliseconds >= takeoverDelay(context.ranking.rankOf(chunk).global),
  );
  return next === undefined ? null : { chunk: next.chunk, source: { kind: 'origin' } };
}

function crossRegionFetch(
  context: ChunkFetchContext,
  chunks: readonly ChunkAvailability[],
): ChunkFetch | null {
  for (const { chunk, sameRegion, otherRegions } of chunks) {
    if (sameRegion.length > 0 || otherRegions.length === 0) continue;
    if (context.regionStalledMilliseconds < takeoverDelay(context.ranking.rankOf(chunk).regional))
      continue;
    const fetch = fetchFromHolder(chunk, leastQueuedHolder(otherRegions));
    if (fetch !== null) return fetch;
  }
  return null;
}

function regionalFetch(chunks: readonly ChunkAvailability[]): ChunkFetch | null {
  const held = chunks.filter(({ sameRegion }) => sameRegion.length > 0);
  for (const { chunk, sameRegion } of held.sort(
    (left, right) => left.sameRegion.length - right.sameRegion.length,
  )) {
    const fetch = fetchFromHolder(chunk, leastQueuedHolder(sameRegion));
    if (fetch !== null) return fetch;
  }
  return null;
}

/**
 * Chooses the next chunk to fetch and where from; `null` when nothing can be fetched now.
 *
 * @remarks
 * Keeps traffic low when a version is rolled out over narrow links. One agent fetches each chunk
 * from the origin, one agent in each further region fetches it from another region, and all others
 * fetch it within their region from the holder that can send it first. Chunks that others wait for
 * have priority: first those that this agent fetches from the origin, then those that it fetches into
 * its region, then the rarest. When no chunk is new to any agent or to the region for a while, the
 * owners of the missing ones are lost or slow, and others take over in rank order, however busy they
 * are with chunks that are already spread.
 */
export function nextChunkFetch(context: ChunkFetchContext): ChunkFetch | null {
  const chunks = context.missing.map((chunk) => availabilityOf(context, chunk));
  return originFetch(context, chunks) ?? crossRegionFetch(context, chunks) ?? regionalFetch(chunks);
}
