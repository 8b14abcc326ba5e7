import type { Milliseconds } from '@burdockrail/common/timeSource.js';

/**
 * Timing model of an engine that works in passes of one or more steps.
 *
 * In each step, the engine reads (prefills) prompt tokens and generates one token for each request
 * whose prompt has been read.
 */
export interface PassSettings {
  /** Maximum number of concurrent requests. */
  readonly slots: number;
  /** Number of steps of a pass if any request generates tokens; otherwise a pass has one step. */
  readonly stepsPerPass: number;
  readonly stepMilliseconds: number;
  /** Time that each generating request adds to a step, in milliseconds. */
  readonly stepPerRequestMilliseconds: number;
  /** Time that each thousand context tokens of generating requests add to a step, in milliseconds. */
  readonly stepPerThousandTokensMilliseconds: number;
  readonly readTokensPerMillisecond: number;
  /** Attention cost for each million pairs of a prompt token and an earlier one, in milliseconds. */
  readonly millisecondsPerMillionPairs: number;
  /** Maximum number of prompt tokens that are read in one step. */
  readonly promptTokensPerStep: number;
}

/** A request to the engine. */
export interface PassRequest {
  readonly id: number;
  readonly promptTokens: number;
  readonly answerTokens: number;
}

/** Tokens that a pass generated for a request. */
export interface PassOutput {
  readonly id: number;
  readonly tokens: number;
  readonly isLast: boolean;
}

/** Simulates an engine that works in passes; times are virtual. */
export interface EnginePasses {
  /** Adds a request; it waits in the engine until a slot is free. */
  add(request: PassRequest): void;
  /** Removes a request before its last token. */
  cancel(id: number): void;
  /** Starts a pass and returns the time at which it ends; `null` if there are no requests. */
  begin(now: Milliseconds): Milliseconds | null;
  /** Ends the current pass. */
  end(): readonly PassOutput[];
  readonly running: number;
  readonly waiting: number;
}

interface ActiveRequest {
  readonly request: PassRequest;
  readPromptTokens: number;
  generatedTokens: number;
}

const THOUSAND = 1_000;
const MILLION = 1_000_000;

/** Creates an idle engine. */
export function createEnginePasses(settings: PassSettings): EnginePasses {
  const activeRequests = new Map<number, ActiveRequest>();
  let waiting: PassRequest[] = [];
  /** Number of tokens that the current pass generates for each request, by id. */
  let tokensByRequest = new Map<number, number>();

  const admit = (): void => {
    while (activeRequests.size < settings.slots) {
      const next = waiting.shift();
      if (next === undefined) return;
      activeRequests.set(next.id, { request: next, readPromptTokens: 0, generatedTokens: 0 });
    }
  };

  /** Reads prompt tokens in one step; returns the time that it takes. */
  const readPrompts = (): number => {
    let remainingTokens = settings.promptTokensPerStep;
    let time = 0;
    for (const active of activeRequests.values()) {
      const tokens = Math.min(
        remainingTokens,
        active.request.promptTokens - active.readPromptTokens,
      );
      if (tokens <= 0) continue;
      const pairs = tokens * (active.readPromptTokens + tokens / 2);
      time += tokens / settings.readTokensPerMillisecond;
      time += (pairs / MILLION) * settings.millisecondsPerMillionPairs;
      active.readPromptTokens += tokens;
      remainingTokens -= tokens;
    }
    return time;
  };

  const simulateStep = (): number => {
    let time = settings.stepMilliseconds + readPrompts();
    for (const active of activeRequests.values()) {
      const { promptTokens, answerTokens } = active.request;
      const tokens = tokensByRequest.get(active.request.id) ?? 0;
      if (active.readPromptTokens < promptTokens || active.generatedTokens + tokens >= answerTokens)
        continue;
      const context = promptTokens + active.generatedTokens + tokens;
      time += settings.stepPerRequestMilliseconds;
      time += (context / THOUSAND) * settings.stepPerThousandTokensMilliseconds;
      tokensByRequest.set(active.request.id, tokens + 1);
    }
    return time;
  };

  return {
    get running() {
      return activeRequests.size;
    },
    get waiting() {
      return waiting.length;
    },
    add: (request) => {
      waiting.push(request);
    },
    cancel: (id) => {
      activeRequests.delete(id);
      waiting = waiting.filter((request) => request.id !== id);
    },
    begin: (now) => {
      admit();
      if (activeRequests.size === 0) return null;
      tokensByRequest = new Map();
      let time = 0;
      const isGenerating = [...activeRequests.values()].some(
        ({ readPromptTokens, request }) => readPromptTokens >= request.promptTokens,
      );
      const steps = isGenerating ? settings.stepsPerPass : 1;
      for (let count = 0; count < steps; count += 1) time += simulateStep();
      return now + time;
    },
    end: () => {
      const outputs: PassOutput[] = [];
      for (const [id, tokens] of tokensByRequest) {
        const active = activeRequests.get(id);
        if (active === undefined) continue;
        active.generatedTokens += tokens;
        const isLast = active.generatedTokens >= active.request.answerTokens;
        if (isLast) activeRequests.delete(id);
        outputs.push({ id, tokens, isLast });
      }
      return outputs;
    },
  };
}
