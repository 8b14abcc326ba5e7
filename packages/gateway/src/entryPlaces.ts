import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type { DirectoryEntry } from '@burdockrail/membership/directoryView.js';
import { formatAddress, type Address } from '@burdockrail/protocol/protocolAddress.js';
import type { PlaceClaim, PlaceReply } from '@burdockrail/protocol/protocolDirectory.js';
import { orderEngines, type EngineView } from '@burdockrail/routing/engineOrder.js';
import type { EntryContext } from './entryContext.js';
import type { EntryRequest } from './entryRequest.js';
import { parseAddress } from './controlAddresses.js';
import { mayServe } from './versionRule.js';

/** Longest wait of a claim at an agent, in milliseconds. */
const WAIT_MILLISECONDS = 450;

/** Time beyond the wait after which an agent counts as silent, in milliseconds. */
const ANSWER_MILLISECONDS = 250;

/** Time for which an agent that did not answer is passed over at first, in milliseconds. */
const SILENT_AGENT_MILLISECONDS = 1_000;

/** Longest such time; it doubles with each question that is not answered. */
const LONGEST_SILENCE_MILLISECONDS = 8_000;

/** Time for which an engine that had no weights is not asked again, in milliseconds. */
const UNLOADED_MILLISECONDS = 300;

/** Engines that are asked whether they are lightly loaded before any engine is taken as it is. */
const LIGHT_ENGINES_ASKED = 2;

/** Part of an engine's places up to which it counts as lightly loaded. */
const LIGHT_SHARE = 0.6;

/** Prompts ahead up to which an engine counts as lightly loaded, in milliseconds of reading. */
const LIGHT_READING_MILLISECONDS = 60;

/** Prompts ahead that weigh as much as all places taken, in milliseconds of reading. */
const FULL_READING_MILLISECONDS = 300;

/** Engines that are asked for any place before a request waits or is refused. */
const ENGINES_ASKED = 5;

/** Share of an engine's places that entries take in all when its agent does not answer. */
const UNGRANTED_SHARE = 0.5;

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

/** Terms under which a place is wanted. */
type ClaimTerms = Pick<
  PlaceClaim,
  'slackMilliseconds' | 'mayWait' | 'mostTaken' | 'mostReadingMilliseconds'
>;

interface AgentView {
  readonly reply: PlaceReply;
  readonly at: Milliseconds;
}

/** Creates the claims of an entry. */
export function createEntryPlaces(entry: EntryContext, agentPort: number): EntryPlaces {
  const { client, time, beliefs, upstreams, random, log } = entry;
  const views = new Map<string, AgentView>();
  const silences = new Map<string, { readonly until: Milliseconds; readonly length: number }>();

  const agentOf = (engineAddress: string): Address => ({
    host: parseAddress(engineAddress).host,
    port: agentPort,
  });

  const isAgentSilent = (agent: Address, now: Milliseconds): boolean =>
    (silences.get(formatAddress(agent))?.until ?? 0) > now;

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
      ungranted: isAgentSilent(agentOf(record.address), now),
    };
  };

  /** Load of an engine by its agent's latest answer, in shares of its places. */
  const seenLoad = (id: string): number => {
    const reply = views.get(id)?.reply;
    if (reply === undefined) return 0;
    if (reply.kind === 'unloaded') return Number.MAX_SAFE_INTEGER;
    const load = (reply.taken + reply.waiting) / Math.max(1, reply.places);
    return load + reply.readingMilliseconds / FULL_READING_MILLISECONDS;
  };

  const saidUnloaded = (id: string, now: Milliseconds): boolean => {
    const view = views.get(id);
    return view?.reply.kind === 'unloaded' && now - view.at < UNLOADED_MILLISECONDS;
  };

  const noteSilence = (agent: Address): void => {
    const key = formatAddress(agent);
    const former = silences.get(key)?.length ?? SILENT_AGENT_MILLISECONDS / 2;
    const length = Math.min(LONGEST_SILENCE_MILLISECONDS, former * 2);
    silences.set(key, { until: time.now() + length, length });
  };

  const ask = async (
    request: EntryRequest,
    agent: Address,
    terms: ClaimTerms,
  ): Promise<PlaceReply | null> => {
    const { caller, admitted } = request;
    const connection = client.to(agent);
    const usual = beliefs.table?.service(admitted.service)?.engine?.usualAnswer ?? 0;
    const most = caller.answerTokens === 0 ? usual : caller.answerTokens;
    try {
      const reply = await connection.call(
        'place.claim',
        {
          requestId: request.id,
          model: caller.model,
          promptTokens: caller.promptTokens,
          answerTokens: Math.min(most, caller.answerEstimate ?? usual),
          ...terms,
          holdMilliseconds: Math.max(0, admitted.deadline - time.now()),
          rank: admitted.team?.priority ?? admitted.route.priority,
        },
        {
          timeoutMilliseconds: (terms.mayWait ? WAIT_MILLISECONDS : 0) + ANSWER_MILLISECONDS,
          signal: request.signal,
        },
      );
      silences.delete(formatAddress(agent));
      return reply;
    } catch (error) {
      if (request.signal.aborted) return null;
      connection.destroy();
      noteSilence(agent);
      log.write('placeRefused', {
        request: request.id,
        agent: formatAddress(agent),
        reason: `no answer: ${String(error)}`,
      });
      return null;
    }
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
    if (!mayServe(held.version, beliefs.weightsOf(model), entry.settings.bounds, now)) return null;
    const part = (record.slots * UNGRANTED_SHARE) / Math.max(1, beliefs.entries);
    if (upstreams.ownRequests(record.id) >= Math.max(1, Math.floor(part))) return null;
    return {
      engine: record.id,
      address: record.address,
      version: held.version,
      release: () => undefined,
    };
  };

  return {
    claim: async (request, tried, slackMilliseconds) => {
      const ready = beliefs.directory
        .ready(request.admitted.service)
        .filter(({ record }) => !tried.has(record.id));
      if (ready.length === 0) return { kind: 'absent' };
      const now = time.now();
      const loaded = ready.filter(({ record }) => !saidUnloaded(record.id, now));
      const order = orderEngines(
        (loaded.length > 0 ? loaded : ready).map((engine) => engineView(engine, now)),
        { dataCentre: entry.settings.dataCentre, draw: () => random.next() },
      );
      let best: { readonly id: string; readonly freeIn: number } | null = null;
      let fallback: GrantedPlace | null = null;
      let asked = 0;
      const claimAt = async (id: string, terms: ClaimTerms): Promise<GrantedPlace | null> => {
        const record = beliefs.directory.get(id)?.record;
        if (record === undefined) return null;
        const agent = agentOf(record.address);
        if (isAgentSilent(agent, time.now())) {
          fallback ??= ungranted(record, request.caller.model, time.now());
          return null;
        }
        asked += 1;
        const reply = await ask(request, agent, terms);
        if (reply === null) {
          fallback ??= ungranted(record, request.caller.model, time.now());
          return null;
        }
        views.set(id, { reply, at: time.now() });
        if (reply.kind === 'granted') return granted(record, reply);
        const isBetter = best === null || reply.freeInMilliseconds < best.freeIn;
        if (reply.kind === 'full' && isBetter) best = { id, freeIn: reply.freeInMilliseconds };
        return null;
      };
      for (const id of order.slice(0, LIGHT_ENGINES_ASKED)) {
        const slots = beliefs.directory.get(id)?.record.slots ?? 0;
        const place = await claimAt(id, {
          slackMilliseconds,
          mayWait: false,
          mostTaken: Math.ceil(slots * LIGHT_SHARE),
          mostReadingMilliseconds: LIGHT_READING_MILLISECONDS,
        });
        if (place !== null) return { kind: 'granted', place };
        if (request.signal.aborted) return { kind: 'absent' };
      }
      const anyPlace = {
        slackMilliseconds,
        mayWait: false,
        mostTaken: null,
        mostReadingMilliseconds: null,
      };
      best = null;
      const seen = order
        .slice(0, ENGINES_ASKED)
        .toSorted((left, right) => seenLoad(left) - seenLoad(right));
      for (const id of seen) {
        const place = await claimAt(id, anyPlace);
        if (place !== null) return { kind: 'granted', place };
        if (request.signal.aborted) return { kind: 'absent' };
      }
      const shortest = best as { readonly id: string; readonly freeIn: number } | null;
      if (shortest !== null && shortest.freeIn <= WAIT_MILLISECONDS) {
        const place = await claimAt(shortest.id, { ...anyPlace, mayWait: true });
        if (place !== null) return { kind: 'granted', place };
      }
      const unguarded = fallback as GrantedPlace | null;
      if (unguarded !== null) return { kind: 'granted', place: unguarded };
      const freeIn = (best as { readonly freeIn: number } | null)?.freeIn;
      if (freeIn === undefined) return { kind: 'absent' };
      return { kind: 'full', freeInMilliseconds: freeIn, asked };
    },
  };
}
