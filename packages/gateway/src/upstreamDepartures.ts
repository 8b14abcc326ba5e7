import type { DirectoryView } from '@burdockrail/membership/directoryView.js';
import { createLeavingUpstreams } from '@burdockrail/membership/leavingUpstreams.js';
import type { UpstreamIncarnation } from '@burdockrail/protocol/protocolDirectory.js';
import type { NotRun } from './attemptOutcome.js';
import type { AnswerHeaders } from './dialect.js';
import type { GatewayContext } from './gatewayContext.js';

/** Upstreams that leave, by what they said in answers to this entry or by the directory. */
export interface UpstreamDepartures {
  /** Records what an answer of an upstream says; `startedAt` is the upstream's start. */
  recordAnswer(incarnation: UpstreamIncarnation, answer: Pick<AnswerHeaders, 'leaving'>): void;
  /** True if this incarnation of an upstream gets no further requests, whatever it announces. */
  isLeaving(incarnation: UpstreamIncarnation): boolean;
  /**
   * Calls back once as soon as an upstream leaves for which a request waits; returns a function that
   * ends this.
   */
  whenLeaving(incarnation: UpstreamIncarnation, onLeaving: () => void): () => void;
  /** The directory has changed. */
  directoryChanged(): void;
}

/** Outcome of a request that waited for an upstream which said meanwhile that it leaves. */
export const leavingOutcome: NotRun = {
  kind: 'notRun',
  verdict: 'leaving',
  reason: 'the upstream is leaving',
  sent: false,
};

interface WaitingRequest {
  readonly incarnation: UpstreamIncarnation;
  readonly onLeaving: () => void;
}

/** Creates the record of an entry that has received no answer yet. */
export function createUpstreamDepartures(
  { log, metrics }: Pick<GatewayContext, 'log' | 'metrics'>,
  directory: Pick<DirectoryView, 'get'>,
): UpstreamDepartures {
  const leaving = createLeavingUpstreams();
  const waiting = new Set<WaitingRequest>();

  const isLeaving = (incarnation: UpstreamIncarnation): boolean =>
    leaving.has(incarnation) || directory.get(incarnation.id)?.record.state !== 'ready';

  const notifyWaiting = (): void => {
    for (const request of [...waiting]) {
      if (!isLeaving(request.incarnation)) continue;
      waiting.delete(request);
      request.onLeaving();
    }
  };

  return {
    recordAnswer: (incarnation, answer) => {
      if (!answer.leaving || !leaving.add(incarnation)) return;
      log.write('upstreamLeaving', {
        upstream: incarnation.id,
        startedAt: incarnation.startedAt,
      });
      metrics.count('burdockrail_upstreams_leaving_total', {});
      notifyWaiting();
    },
    isLeaving,
    whenLeaving: (incarnation, onLeaving) => {
      const request = { incarnation, onLeaving };
      waiting.add(request);
      return () => {
        waiting.delete(request);
      };
    },
    directoryChanged: notifyWaiting,
  };
}
