import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type { DirectoryEntry } from '@burdockrail/membership/directoryView.js';
import { isVouchedLoad } from '@burdockrail/membership/loadVerdicts.js';
import { mayUseSlotWithoutGrant } from '@burdockrail/limits/ungrantedSlots.js';
import type { Address } from '@burdockrail/protocol/protocolAddress.js';
import type { SlotReply } from '@burdockrail/protocol/protocolDirectory.js';
import { orderEngines, type EngineView } from '@burdockrail/routing/engineOrder.js';
import { FAILURE_COST } from '@burdockrail/routing/upstreamChoice.js';
import {
  engineLoad,
  searchSlot,
  type SearchedEngine,
  type SlotClaimResult,
  type SlotSearchClaim,
} from '@burdockrail/routing/slotSearch.js';
import { CLAIM_WAIT_MILLISECONDS, createSlotClaimClient } from './slotClaimClient.js';
import type { EntryContext } from './entryContext.js';
import type { EntryRequest } from './entryRequest.js';
import type { NamedLimitAnswer } from './upstreamLimits.js';
import { parseAddress } from './controlAddresses.js';
import { mayServeVersion } from './versionRule.js';

/** Time for which an engine that reported no weights is skipped, in milliseconds. */
const UNLOADED_MILLISECONDS = 300;

/**
 * Share of the engines that must not be failing for the others to be left out; fewer could not take
 * the load of all.
 */
const MINIMUM_SOUND_SHARE = 0.5;

/** A request slot at an engine, to be released after use. */
export interface GrantedSlot {
  readonly engine: string;
  readonly address: string;
  /** Start of the engine's incarnation in Unix milliseconds. */
  readonly startedAt: number;
  /** Version of the weights that the engine has loaded. */
  readonly version: number;
  /** Tells the engine's agent what an answer of the engine says about the engine's limit. */
  reportLimit(answer: NamedLimitAnswer): void;
  /** Tells the engine's agent that the engine wants no requests of this entry for a time. */
  reportRest(restMilliseconds: Milliseconds): void;
  release(): void;
}

/** Result of a slot claim. */
export type SlotOutcome =
  | { readonly kind: 'granted'; readonly slot: GrantedSlot }
  | { readonly kind: 'full'; readonly freeInMilliseconds: number; readonly asked: number }
  /** No engine is available until the first of those that rest has rested. */
  | { readonly kind: 'resting'; readonly restMilliseconds: number }
  /** No engine is available. */
  | { readonly kind: 'absent' };

/** Claims slots of engines from their agents. */
export interface EntrySlots {
  /** Claims a slot; may queue for one as long as the request's latency objective allows. */
  claim(
    request: EntryRequest,
    triedEngines: ReadonlySet<string>,
    slackMilliseconds: Milliseconds,
  ): Promise<SlotOutcome>;
}

interface AgentReply {
  readonly reply: SlotReply;
  readonly receivedAt: Milliseconds;
}

/** Creates the slot claims of an entry. */
export function createEntrySlots(entry: EntryContext, agentPort: number): EntrySlots {
  const { client, time, clusterView, upstreams, limits, departures, rests, random } = entry;
  const latestReplies = new Map<string, AgentReply>();
  const claimClient = createSlotClaimClient(entry);

  const agentAddress = (engineAddress: string): Address => ({
    host: parseAddress(engineAddress).host,
    port: agentPort,
  });

  const engineView = ({ record, silent }: DirectoryEntry, now: Milliseconds): EngineView => {
    const latest = latestReplies.get(record.id);
    return {
      id: record.id,
      dataCentre: record.dataCentre,
      slots: latest?.reply.places ?? record.slots,
      taken: latest === undefined ? null : latest.reply.taken + latest.reply.waiting,
      viewAgeMilliseconds: latest === undefined ? 0 : now - latest.receivedAt,
      ownRequests: upstreams.ownRequests(record.id),
      loaded: record.models.length > 0,
      failureRate: upstreams.failureRate(record.id, now),
      suspended: silent || upstreams.isSuspended(record.id, now) || rests.isAvoided(record, now),
      agentUnresponsive: claimClient.isSilent(agentAddress(record.address), now),
    };
  };

  /**
   * Load from the agent's latest answer, as a fraction of the engine's slots. Failures count as load,
   * since an engine that answers errors at once looks the emptiest of all.
   */
  const lastReportedLoad = (id: string): number => {
    const failureCost = upstreams.failureRate(id, time.now()) * FAILURE_COST;
    const reply = latestReplies.get(id)?.reply;
    if (reply === undefined) return failureCost;
    if (reply.kind === 'unloaded') return Number.MAX_SAFE_INTEGER;
    return engineLoad(reply) + failureCost;
  };

  const recentlyReportedUnloaded = (id: string, now: Milliseconds): boolean => {
    const latest = latestReplies.get(id);
    return latest?.reply.kind === 'unloaded' && now - latest.receivedAt < UNLOADED_MILLISECONDS;
  };

  const grantedSlot = (record: DirectoryEntry['record'], reply: SlotReply): GrantedSlot => {
    const agent = agentAddress(record.address);
    let released = false;
    return {
      engine: record.id,
      address: record.address,
      startedAt: record.startedAt,
      version: reply.version,
      reportLimit: ({ requestsPerSecond, signed }) => {
        if (requestsPerSecond === reply.requestsPerSecond) return;
        if (requestsPerSecond === null && !signed) return;
        client.notify(agent, 'place.limit', { engine: record.id, requestsPerSecond });
      },
      reportRest: (restMilliseconds) => {
        client.notify(agent, 'place.rest', { engine: record.id, restMilliseconds });
      },
      release: () => {
        if (released) return;
        released = true;
        client.notify(agent, 'place.release', { place: reply.place });
      },
    };
  };

  const isResting = (record: DirectoryEntry['record'], now: Milliseconds): boolean =>
    rests.restMilliseconds(record, now) > 0;

  /** Takes a slot without a grant, within this entry's share of the engine. */
  const takeWithoutGrant = (
    record: DirectoryEntry['record'],
    model: string,
    now: Milliseconds,
  ): GrantedSlot | null => {
    const heldModel = record.models.find((held) => held.model === model);
    // Only an agent knows whether the engine took sound chunks.
    if (heldModel === undefined || !isVouchedLoad(record, heldModel)) return null;
    const namedVersions = clusterView.weightsOf(model);
    if (!mayServeVersion(heldModel.version, namedVersions, entry.settings.bounds, now, 'ungranted'))
      return null;
    const mayTake = mayUseSlotWithoutGrant({
      slots: record.slots,
      entries: clusterView.entries,
      ownRequests: upstreams.ownRequests(record.id),
      draw: random.next(),
    });
    if (!mayTake || limits.take(record.id, clusterView, Date.now()) > 0) return null;
    return {
      engine: record.id,
      address: record.address,
      startedAt: record.startedAt,
      version: heldModel.version,
      reportLimit: () => undefined,
      reportRest: () => undefined,
      release: () => undefined,
    };
  };

  /** Candidate engines, those most likely to have a free slot first. */
  const enginesFor = (
    request: EntryRequest,
    triedEngines: ReadonlySet<string>,
  ): readonly SearchedEngine[] => {
    const now = time.now();
    const ready = clusterView.directory
      .ready(request.admitted.service)
      .filter(
        ({ record }) =>
          !triedEngines.has(record.id) && !departures.isLeaving(record) && !isResting(record, now),
      );
    const sound = ready.filter(({ record }) => !upstreams.isFailing(record.id, now));
    const isMostlySound = sound.length >= ready.length * MINIMUM_SOUND_SHARE;
    const order = orderEngines(
      (isMostlySound ? sound : ready).map((engine) => engineView(engine, now)),
      entry.settings.dataCentre,
    );
    return order.map((id) => ({
      id,
      slots: clusterView.directory.get(id)?.record.slots ?? 0,
      mayServe: !recentlyReportedUnloaded(id, now),
    }));
  };

  /** Claims at one engine; if its agent is unresponsive, takes a slot of this entry's share. */
  const claimAt = async (
    request: EntryRequest,
    slackMilliseconds: Milliseconds,
    { engine, terms }: SlotSearchClaim,
  ): Promise<{ readonly answer: SlotClaimResult; readonly slot: GrantedSlot | null }> => {
    const record = clusterView.directory.get(engine)?.record;
    if (record === undefined || departures.isLeaving(record) || isResting(record, time.now()))
      return { answer: { kind: 'silent' }, slot: null };
    const agent = agentAddress(record.address);
    const isSilent = claimClient.isSilent(agent, time.now());
    const reply = isSilent
      ? null
      : await claimClient.claim(request, agent, slackMilliseconds, terms);
    if (reply === null) {
      // An agent that is merely slow still grants slots, so none is taken without its grant.
      const slot = isSilent ? takeWithoutGrant(record, request.caller.model, time.now()) : null;
      const isUnresponsive = isSilent || claimClient.isSilent(agent, time.now());
      return { answer: { kind: isUnresponsive ? 'silent' : 'slow' }, slot };
    }
    latestReplies.set(engine, { reply, receivedAt: time.now() });
    const slot = reply.kind === 'granted' ? grantedSlot(record, reply) : null;
    return { answer: reply, slot };
  };

  return {
    claim: async (request, triedEngines, slackMilliseconds) => {
      const search = searchSlot({
        engines: enginesFor(request, triedEngines),
        loadOf: lastReportedLoad,
        longestWaitMilliseconds: CLAIM_WAIT_MILLISECONDS,
      });
      let slotWithoutGrant: GrantedSlot | null = null;
      let step = search.next();
      while (step.done !== true) {
        const { answer, slot } = await claimAt(request, slackMilliseconds, step.value);
        if (answer.kind === 'granted' && slot !== null) return { kind: 'granted', slot };
        if (request.signal.aborted) return { kind: 'absent' };
        slotWithoutGrant ??= slot;
        step = search.next(answer);
      }
      if (slotWithoutGrant !== null) return { kind: 'granted', slot: slotWithoutGrant };
      if (step.value.kind === 'full') return step.value;
      const engines = clusterView.directory.ready(request.admitted.service);
      const restMilliseconds = rests.shortestRestMilliseconds(
        engines.map(({ record }) => record),
        time.now(),
      );
      return restMilliseconds === null ? { kind: 'absent' } : { kind: 'resting', restMilliseconds };
    },
  };
}
