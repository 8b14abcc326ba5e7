import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import { formatAddress, type Address } from '@burdockrail/protocol/protocolAddress.js';
import type { PlaceClaim, PlaceReply } from '@burdockrail/protocol/protocolDirectory.js';
import type { PlaceClaimTerms } from '@burdockrail/routing/placeSearch.js';
import type { EntryContext } from './entryContext.js';
import type { EntryRequest } from './entryRequest.js';

/** Longest wait of a claim at an agent, in milliseconds: the agents' own bound and the way. */
export const CLAIM_WAIT_MILLISECONDS = 200;

/** Time beyond the wait after which an agent counts as silent, in milliseconds. */
const ANSWER_MILLISECONDS = 250;

/**
 * Time beyond the wait after which the search goes on elsewhere, in milliseconds: several times the
 * way there and back beside weights on a thin link.
 */
const SLOW_MILLISECONDS = 80;

/** Time for which an agent that did not answer is passed over at first, in milliseconds. */
const SILENT_AGENT_MILLISECONDS = 1_000;

/** Longest such time; it doubles with each question that is not answered. */
const LONGEST_SILENCE_MILLISECONDS = 8_000;

/** Questions for places, with what they show of the agents. */
export interface EntryClaims {
  /** Asks an agent; `null` when no answer came in time. A place that comes later is given back. */
  ask(
    request: EntryRequest,
    agent: Address,
    slackMilliseconds: Milliseconds,
    terms: PlaceClaimTerms,
  ): Promise<PlaceReply | null>;
  /** True for a while after an agent did not answer. */
  isSilent(agent: Address, now: Milliseconds): boolean;
}

/** Resolves with `slow` when the answer takes longer. */
async function within<Value>(
  answer: Promise<Value>,
  milliseconds: Milliseconds,
): Promise<Value | 'slow'> {
  let timer: NodeJS.Timeout | undefined;
  const slow = new Promise<'slow'>((resolve) => {
    timer = setTimeout(() => {
      resolve('slow');
    }, milliseconds);
  });
  try {
    return await Promise.race([answer, slow]);
  } finally {
    clearTimeout(timer);
  }
}

/** Creates the claims of an entry that has asked nobody yet. */
export function createEntryClaims(
  entry: Pick<EntryContext, 'client' | 'time' | 'beliefs' | 'log'>,
): EntryClaims {
  const { client, time, beliefs, log } = entry;
  const silences = new Map<string, { readonly until: Milliseconds; readonly length: number }>();

  const noteSilence = (agent: string): void => {
    const former = silences.get(agent)?.length ?? SILENT_AGENT_MILLISECONDS / 2;
    const length = Math.min(LONGEST_SILENCE_MILLISECONDS, former * 2);
    silences.set(agent, { until: time.now() + length, length });
  };

  const claimOf = (
    { id, caller, admitted }: EntryRequest,
    slackMilliseconds: Milliseconds,
    terms: PlaceClaimTerms,
  ): PlaceClaim => {
    const usual = beliefs.table?.service(admitted.service)?.engine?.usualAnswer ?? 0;
    const most = caller.answerTokens === 0 ? usual : caller.answerTokens;
    return {
      requestId: id,
      model: caller.model,
      promptTokens: caller.promptTokens,
      answerTokens: Math.min(most, caller.answerEstimate ?? usual),
      slackMilliseconds,
      ...terms,
      holdMilliseconds: Math.max(0, admitted.deadline - time.now()),
      rank: admitted.team?.priority ?? admitted.route.priority,
    };
  };

  const answerOf = async (
    request: EntryRequest,
    agent: Address,
    claim: PlaceClaim,
    bound: Milliseconds,
  ): Promise<PlaceReply | null> => {
    const { signal } = request;
    const connection = client.to(agent);
    const name = formatAddress(agent);
    try {
      const options = { timeoutMilliseconds: bound, signal };
      const reply = await connection.call('place.claim', claim, options);
      silences.delete(name);
      return reply;
    } catch (error) {
      if (!signal.aborted) {
        connection.destroy();
        noteSilence(name);
        const reason = `no answer: ${String(error)}`;
        log.write('placeRefused', { request: request.id, agent: name, reason });
      }
      // The place may have been granted while the answer was lost.
      client.notify(agent, 'place.withdraw', { requestId: request.id });
      return null;
    }
  };

  return {
    isSilent: (agent, now) => (silences.get(formatAddress(agent))?.until ?? 0) > now,
    ask: async (request, agent, slackMilliseconds, terms) => {
      const claim = claimOf(request, slackMilliseconds, terms);
      const wait = terms.mayWait ? CLAIM_WAIT_MILLISECONDS : 0;
      const answer = answerOf(request, agent, claim, wait + ANSWER_MILLISECONDS);
      const first = await within(answer, wait + SLOW_MILLISECONDS);
      if (first !== 'slow') return first;
      void answer.then((late) => {
        if (late?.kind === 'granted') client.notify(agent, 'place.release', { place: late.place });
      });
      return null;
    },
  };
}
