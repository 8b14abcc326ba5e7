import type { Milliseconds } from '@burdockrail/common/timeSource.js';

/** How long an engine's passes take. */
export interface PassSettings {
  /** Requests that run at once. */
  readonly slots: number;
  /** Steps of a pass in which a request writes. */
  readonly stride: number;
  readonly stepMilliseconds: number;
  /** Added to a step by each request that writes, in milliseconds. */
  readonly stepPerRequestMilliseconds: number;
  /** Added to a step by each thousand tokens of context of requests that write, in milliseconds. */
  readonly stepPerThousandTokensMilliseconds: number;
  readonly readTokensPerMillisecond: number;
  /** Added for each million pairs of a prompt's token and an earlier one, in milliseconds. */
  readonly pairsPerMillionMilliseconds: number;
  /** Tokens of prompts that a step reads at most. */
  readonly chunkTokens: number;
}

/** A request at the engine. */
export interface PassRequest {
  readonly id: number;
  readonly promptTokens: number;
  readonly answerTokens: number;
}

/** Tokens that a pass made for a request. */
export interface PassOutput {
  readonly id: number;
  readonly tokens: number;
  readonly isLast: boolean;
}

/** An engine that works in passes, in virtual time. */
export interface EnginePasses {
  /** Takes a request; it waits at the engine while all slots are taken. */
  add(request: PassRequest): void;
  /** Ends a request early. */
  cancel(id: number): void;
  /** Begins a pass and gives the time at which it ends; `null` while there is no work. */
  begin(now: Milliseconds): Milliseconds | null;
  /** Ends the pass that runs. */
  end(): readonly PassOutput[];
  readonly running: number;
  readonly waiting: number;
}

interface Run {
  readonly request: PassRequest;
  /** Tokens of the prompt that were read. */
  read: number;
  written: number;
}

const THOUSAND = 1_000;
const MILLION = 1_000_000;

/** Creates an engine without requests. */
export function createEnginePasses(settings: PassSettings): EnginePasses {
  const runs = new Map<number, Run>();
  let waiting: PassRequest[] = [];
  /** Steps in which each request writes in the pass that runs. */
  let planned = new Map<number, number>();

  const admit = (): void => {
    while (runs.size < settings.slots) {
      const next = waiting.shift();
      if (next === undefined) return;
      runs.set(next.id, { request: next, read: 0, written: 0 });
    }
  };

  /** Reads prompts within one step and gives the time that it takes. */
  const readPrompts = (): number => {
    let left = settings.chunkTokens;
    let time = 0;
    for (const run of runs.values()) {
      const tokens = Math.min(left, run.request.promptTokens - run.read);
      if (tokens <= 0) continue;
      const pairs = tokens * (run.read + tokens / 2);
      time += tokens / settings.readTokensPerMillisecond;
      time += (pairs / MILLION) * settings.pairsPerMillionMilliseconds;
      run.read += tokens;
      left -= tokens;
    }
    return time;
  };

  const step = (): number => {
    let time = settings.stepMilliseconds + readPrompts();
    for (const run of runs.values()) {
      const { promptTokens, answerTokens } = run.request;
      const steps = planned.get(run.request.id) ?? 0;
      if (run.read < promptTokens || run.written + steps >= answerTokens) continue;
      const context = promptTokens + run.written + steps;
      time += settings.stepPerRequestMilliseconds;
      time += (context / THOUSAND) * settings.stepPerThousandTokensMilliseconds;
      planned.set(run.request.id, steps + 1);
    }
    return time;
  };

  return {
    get running() {
      return runs.size;
    },
    get waiting() {
      return waiting.length;
    },
    add: (request) => {
      waiting.push(request);
    },
    cancel: (id) => {
      runs.delete(id);
      waiting = waiting.filter((request) => request.id !== id);
    },
    begin: (now) => {
      admit();
      if (runs.size === 0) return null;
      planned = new Map();
      let time = 0;
      const hasWriters = [...runs.values()].some(
        ({ read, request }) => read >= request.promptTokens,
      );
      const steps = hasWriters ? settings.stride : 1;
      for (let count = 0; count < steps; count += 1) time += step();
      return now + time;
    },
    end: () => {
      const outputs: PassOutput[] = [];
      for (const [id, tokens] of planned) {
        const run = runs.get(id);
        if (run === undefined) continue;
        run.written += tokens;
        const isLast = run.written >= run.request.answerTokens;
        if (isLast) runs.delete(id);
        outputs.push({ id, tokens, isLast });
      }
      return outputs;
    },
  };
}
