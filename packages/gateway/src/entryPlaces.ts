import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type { DirectoryEntry } from '@burdockrail/membership/directoryView.js';
import { mayUseSlotWithoutGrant } from '@burdockrail/limits/ungrantedSlots.js';
import type { Address } from '@burdockrail/protocol/protocolAddress.js';
import type { PlaceReply } from '@burdockrail/protocol/protocolDirectory.js';
import { orderEngines, type EngineView } from '@burdockrail/routing/engineOrder.js';
import {
  engineLoad,
  searchPlace,
  type PlaceClaimResult,
  type PlaceSearchClaim,
} from '@burdockrail/routing/placeSearch.js';
import { CLAIM_WAIT_MILLISECONDS, createEntryClaims } from './entryClaims.js';
import type { EntryContext } from './entryContext.js';
import type { EntryRequest } from './entryRequest.js';
import { parseAddress } from './controlAddresses.js';
import { mayServe } from './versionRule.js';

/** Time for which an engine that had no weights is not asked again, in milliseconds. */
const UNLOADED_MILLISECONDS = 300;

/** A place at an engine. */
export interface GrantedPlace {
  readonly engine: string;
  readonly address: string;
  /** Version of weights that the engine holds. */
  readonly version: number;
  release(): void;
}

/** What came of asking for a place. */
export type PlaceOutcome =
  | { readonly kind: 'granted'; readonly place: GrantedPlace }
  | { readonly kind: 'full'; readonly freeInMilliseconds: number; readonly asked: number }
  | { readonly kind: 'absent' };

/** Asks agents for places at their engines. */
export interface EntryPlaces {
  /** Asks for a place, and waits for one as long as the request's objective allows. */
  claim(
    request: EntryRequest,
    tried: ReadonlySet<string>,
    slackMilliseconds: Milliseconds,
  ): Promise<PlaceOutcome>;
}

interface AgentView {
  readonly reply: PlaceReply;
  readonly at: Milliseconds;
}

/** Creates the claims of an entry. */
export function createEntryPlaces(entry: EntryContext, agentPort: number): EntryPlaces {
  const { client, time, beliefs, upstreams, random } = entry;
  const views = new Map<string, AgentView>();
  const claims = createEntryClaims(entry);

  const agentOf = (engineAddress: string): Address => ({
    host: parseAddress(engineAddress).host,
    port: agentPort,
  });

  const engineView = ({ record, silent }: DirectoryEntry, now: Milliseconds): EngineView => {
    const view = views.get(record.id);
    return {
      id: record.id,
      dataCentre: record.dataCentre,
      places: view?.reply.places ?? record.slots,
      taken: view === undefined ? null : view.reply.taken + view.reply.waiting,
      viewAgeMilliseconds: view === undefined ? 0 : now - view.at,
      ownRequests: upstreams.ownRequests(record.id),
      loaded: record.models.length > 0,
      suspended: silent || upstreams.isSuspended(record.id, now),
      agentUnresponsive: claims.isSilent(agentOf(record.address), now),
    };
  };

  /** Load of an engine by its agent's latest answer, in shares of its places. */
  const seenLoad = (id: string): number => {
    const reply = views.get(id)?.reply;
    if (reply === undefined) return 0;
    if (reply.kind === 'unloaded') return Number.MAX_SAFE_INTEGER;
    return engineLoad(reply);
  };

  const saidUnloaded = (id: string, now: Milliseconds): boolean => {
    const view = views.get(id);
    return view?.reply.kind === 'unloaded' && now - view.at < UNLOADED_MILLISECONDS;
  };

  const granted = (record: DirectoryEntry['record'], reply: PlaceReply): GrantedPlace => {
    const agent = agentOf(record.address);
    let released = false;
    return {
      engine: record.id,
      address: record.address,
      version: reply.version,
      release: () => {
        if (released) return;
        released = true;
        client.notify(agent, 'place.release', { place: reply.place });
      },
    };
  };

  /** A place that no agent granted, bounded by this entry's part of the engine. */
  const ungranted = (
    record: DirectoryEntry['record'],
    model: string,
    now: Milliseconds,
  ): GrantedPlace | null => {
    const held = record.models.find((known) => known.model === model);
    if (held === undefined) return null;
    const named = beliefs.weightsOf(model);
    if (!mayServe(held.version, named, entry.settings.bounds, now, 'ungranted')) return null;
    const mayTake = mayUseSlotWithoutGrant({
      slots: record.slots,
      entries: beliefs.entries,
      ownRequests: upstreams.ownRequests(record.id),
      draw: random.next(),
    });
    if (!mayTake) return null;
    return {
      engine: record.id,
      address: record.address,
      version: held.version,
      release: () => undefined,
    };
  };

  /** Engines that a request may go to, the likeliest to have a free place first. */
  const enginesFor = (request: EntryRequest, tried: ReadonlySet<string>): readonly string[] => {
    const now = time.now();
    const ready = beliefs.directory
      .ready(request.admitted.service)
      .filter(({ record }) => !tried.has(record.id));
    const loaded = ready.filter(({ record }) => !saidUnloaded(record.id, now));
    return orderEngines(
      (loaded.length > 0 ? loaded : ready).map((engine) => engineView(engine, now)),
      { dataCentre: entry.settings.dataCentre, draw: () => random.next() },
    );
  };

  /** One question; a silent agent's engine may still be used within this entry's part of it. */
  const askAt = async (
    request: EntryRequest,
    slackMilliseconds: Milliseconds,
    { engine, terms }: PlaceSearchClaim,
  ): Promise<{ readonly answer: PlaceClaimResult; readonly place: GrantedPlace | null }> => {
    const record = beliefs.directory.get(engine)?.record;
    if (record === undefined) return { answer: { kind: 'silent' }, place: null };
    const agent = agentOf(record.address);
    const isSilent = claims.isSilent(agent, time.now());
    const reply = isSilent ? null : await claims.ask(request, agent, slackMilliseconds, terms);
    if (reply === null) {
      // An agent that is only slow still grants the places, so none is taken without it.
      const place = isSilent ? ungranted(record, request.caller.model, time.now()) : null;
      return { answer: { kind: 'silent' }, place };
    }
    views.set(engine, { reply, at: time.now() });
    const place = reply.kind === 'granted' ? granted(record, reply) : null;
    return { answer: reply, place };
  };

  return {
    claim: async (request, tried, slackMilliseconds) => {
      const search = searchPlace({
        engines: enginesFor(request, tried).map((id) => {
          return { id, places: beliefs.directory.get(id)?.record.slots ?? 0 };
        }),
        loadOf: seenLoad,
        longestWaitMilliseconds: CLAIM_WAIT_MILLISECONDS,
      });
      let unguarded: GrantedPlace | null = null;
      let step = search.next();
      while (step.done !== true) {
        const { answer, place } = await askAt(request, slackMilliseconds, step.value);
        if (answer.kind === 'granted' && place !== null) return { kind: 'granted', place };
        if (request.signal.aborted) return { kind: 'absent' };
        unguarded ??= place;
        step = search.next(answer);
      }
      if (unguarded !== null) return { kind: 'granted', place: unguarded };
      return step.value.kind === 'full' ? step.value : { kind: 'absent' };
    },
  };
}
