import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import { formatAddress, type Address } from '@burdockrail/protocol/protocolAddress.js';
import type { SlotClaim, SlotReply } from '@burdockrail/protocol/protocolDirectory.js';
import type { SlotClaimTerms } from '@burdockrail/routing/slotSearch.js';
import type { EntryContext } from './entryContext.js';
import { expectedAnswerTokens } from './expectedAnswer.js';
import type { EntryRequest } from './entryRequest.js';

/** Maximum wait of a claim at an agent, in milliseconds: the agent's limit plus a round trip. */
export const CLAIM_WAIT_MILLISECONDS = 200;

/** Time beyond the queueing time after which an agent counts as unresponsive, in milliseconds. */
const ANSWER_TIMEOUT_MARGIN_MILLISECONDS = 250;

/**
 * Time beyond the queueing time after which the search continues at another agent, in milliseconds:
 * several round trips on a slow link that also carries weights.
 */
const SLOW_ANSWER_MARGIN_MILLISECONDS = 80;

/** Backoff after the first claim that an agent did not answer, in milliseconds. */
const INITIAL_BACKOFF_MILLISECONDS = 1_000;

/** Maximum backoff, in milliseconds; it doubles with each unanswered claim. */
const MAXIMUM_BACKOFF_MILLISECONDS = 8_000;

/** Sends slot claims to agents and backs off from agents that do not answer. */
export interface SlotClaimClient {
  /** Claims a slot; `null` when no answer came in time. A slot granted later is released. */
  claim(
    request: EntryRequest,
    agent: Address,
    slackMilliseconds: Milliseconds,
    terms: SlotClaimTerms,
  ): Promise<SlotReply | null>;
  /** True during the backoff after an unanswered claim. */
  isSilent(agent: Address, now: Milliseconds): boolean;
}

/** Resolves with the answer, or with `slow` when it takes longer than the given time. */
async function withSoftTimeout<Value>(
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

/** Creates a client without any backoff. */
export function createSlotClaimClient(
  entry: Pick<EntryContext, 'client' | 'time' | 'clusterView' | 'log'>,
): SlotClaimClient {
  const { client, time, clusterView, log } = entry;
  const backoffs = new Map<
    string,
    { readonly until: Milliseconds; readonly durationMilliseconds: number }
  >();

  const extendBackoff = (agent: string): void => {
    const previous = backoffs.get(agent)?.durationMilliseconds ?? INITIAL_BACKOFF_MILLISECONDS / 2;
    const durationMilliseconds = Math.min(MAXIMUM_BACKOFF_MILLISECONDS, previous * 2);
    backoffs.set(agent, { until: time.now() + durationMilliseconds, durationMilliseconds });
  };

  const buildClaim = (
    { id, caller, admitted }: EntryRequest,
    slackMilliseconds: Milliseconds,
    terms: SlotClaimTerms,
  ): SlotClaim => {
    const usualAnswerTokens =
      clusterView.table?.service(admitted.service)?.engine?.usualAnswer ?? 0;
    return {
      requestId: id,
      model: caller.model,
      promptTokens: caller.promptTokens,
      answerTokens: expectedAnswerTokens(caller, usualAnswerTokens),
      slackMilliseconds,
      ...terms,
      holdMilliseconds: Math.max(0, admitted.deadline - time.now()),
      rank: admitted.team?.priority ?? admitted.route.priority,
    };
  };

  const sendClaim = async (
    request: EntryRequest,
    agent: Address,
    claim: SlotClaim,
    timeoutMilliseconds: Milliseconds,
  ): Promise<SlotReply | null> => {
    const { signal } = request;
    const connection = client.connectionTo(agent);
    const name = formatAddress(agent);
    try {
      const options = { timeoutMilliseconds, signal };
      const reply = await connection.call('place.claim', claim, options);
      backoffs.delete(name);
      return reply;
    } catch (error) {
      if (!signal.aborted) {
        // It may be dead, which nothing else shows, or carry answers that others wait for.
        connection.retire();
        extendBackoff(name);
        const reason = `no answer: ${String(error)}`;
        log.write('placeRefused', { request: request.id, agent: name, reason });
      }
      // The slot may have been granted although the answer was lost.
      client.notify(agent, 'place.withdraw', { requestId: request.id });
      return null;
    }
  };

  return {
    isSilent: (agent, now) => (backoffs.get(formatAddress(agent))?.until ?? 0) > now,
    claim: async (request, agent, slackMilliseconds, terms) => {
      const message = buildClaim(request, slackMilliseconds, terms);
      const waitMilliseconds = terms.mayWait ? CLAIM_WAIT_MILLISECONDS : 0;
      const answer = sendClaim(
        request,
        agent,
        message,
        waitMilliseconds + ANSWER_TIMEOUT_MARGIN_MILLISECONDS,
      );
      const answerInTime = await withSoftTimeout(
        answer,
        waitMilliseconds + SLOW_ANSWER_MARGIN_MILLISECONDS,
      );
      if (answerInTime !== 'slow') return answerInTime;
      void answer.then((late) => {
        if (late?.kind === 'granted') client.notify(agent, 'place.release', { place: late.place });
      });
      return null;
    },
  };
}
