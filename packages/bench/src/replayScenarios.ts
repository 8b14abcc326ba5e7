import type { EnginePerformance } from '@burdockrail/limits/slotRequest.js';
import type { PassSettings } from '@burdockrail/standins/enginePasses.js';
import type { ServingPeriod, ReplayFleet } from './replayTypes.js';
import type { StreamKind, TrafficPattern } from './replayTraffic.js';

/** A fleet and its traffic, replayed to compare routing modes. */
export interface ReplayScenario {
  readonly name: string;
  /** Description of the load pattern. */
  readonly pattern: string;
  readonly fleet: Omit<ReplayFleet, 'seed'>;
  readonly traffic: TrafficPattern;
}

const sharedLimits = { maximumAnswerTokens: 262, maximumPauseMilliseconds: 400 };

/** Request kinds, as specified by the users. */
const kinds: readonly StreamKind[] = [
  {
    ...sharedLimits,
    name: 'trip-plan',
    share: 44.4,
    objectiveMilliseconds: 500,
    promptTokens: 1_330,
    maximumPromptTokens: 3_920,
    answerTokens: 105,
    worth: 2.4,
    lateWorth: 0.6,
  },
  {
    ...sharedLimits,
    name: 'guest-reply',
    share: 33.8,
    objectiveMilliseconds: 400,
    promptTokens: 827,
    maximumPromptTokens: 3_370,
    answerTokens: 105,
    worth: 2,
    lateWorth: 0.49,
  },
  {
    ...sharedLimits,
    name: 'log-summary',
    share: 31.9,
    objectiveMilliseconds: 400,
    promptTokens: 647,
    maximumPromptTokens: 2_680,
    answerTokens: 70,
    worth: 1.5,
    lateWorth: 0.37,
  },
];

/** Engine timings, as specified by the users' configuration. */
const passes: PassSettings = {
  slots: 16,
  stepsPerPass: 5,
  stepMilliseconds: 8.87,
  stepPerRequestMilliseconds: 0.0388,
  stepPerThousandTokensMilliseconds: 0.0227,
  readTokensPerMillisecond: 19.1,
  millisecondsPerMillionPairs: 1.47,
  promptTokensPerStep: 2_048,
};

const performance: EnginePerformance = {
  slots: 16,
  stepMilliseconds: 8.87,
  stepPerRequestMilliseconds: 0.0388,
  readTokensPerSecond: 19_100,
  usualAnswer: 94,
};

const fleet: Omit<ReplayFleet, 'seed' | 'engines'> = {
  routingMode: 'agents',
  entries: 20,
  dataCentres: 3,
  performance,
  passes,
  localLatencyMilliseconds: 1.5,
  remoteLatencyMilliseconds: 3,
  reportMilliseconds: 200,
  longestWaitMilliseconds: 200,
  loadsAtSeconds: [],
  deadlineMilliseconds: 6_000,
  maximumRetries: 1,
};

const ALWAYS = { fromSecond: 0, untilSecond: Number.POSITIVE_INFINITY };

const alwaysServing = (count: number): readonly ServingPeriod[] =>
  Array.from({ length: count }, () => ALWAYS);

const steadyTraffic = (perSecond: number): TrafficPattern => ({
  perSecond,
  steps: [],
  seconds: 20,
  kinds,
});

const deskLimits = { maximumAnswerTokens: 360, maximumPauseMilliseconds: 300 };

/** Request kinds of the pass desks, as specified by the users. */
const deskKinds: readonly StreamKind[] = [
  {
    ...deskLimits,
    name: 'renewal-letter',
    share: 60.6,
    objectiveMilliseconds: 400,
    promptTokens: 1_330,
    maximumPromptTokens: 3_920,
    answerTokens: 144,
    worth: 2.5,
    lateWorth: 0.62,
  },
  {
    ...deskLimits,
    name: 'fare-rule',
    share: 43.4,
    objectiveMilliseconds: 400,
    promptTokens: 827,
    maximumPromptTokens: 3_370,
    answerTokens: 144,
    worth: 2.1,
    lateWorth: 0.53,
  },
  {
    ...deskLimits,
    name: 'kiosk-answer',
    share: 50.8,
    objectiveMilliseconds: 300,
    promptTokens: 647,
    maximumPromptTokens: 2_680,
    answerTokens: 70,
    worth: 1.3,
    lateWorth: 0.33,
  },
];

const deskStep = { stepMilliseconds: 6.73, stepPerRequestMilliseconds: 0.0219 };

/** The pass desks' fleet after its growth. */
const deskFleet: Omit<ReplayFleet, 'seed'> = {
  ...fleet,
  entries: 15,
  engines: alwaysServing(19),
  performance: { ...performance, ...deskStep, readTokensPerSecond: 30_600, usualAnswer: 120 },
  passes: {
    ...passes,
    ...deskStep,
    stepsPerPass: 6,
    stepPerThousandTokensMilliseconds: 0.0068,
    readTokensPerMillisecond: 30.6,
    millisecondsPerMillionPairs: 0.647,
  },
};

/** Times at which engines load one after another, evenly spread over a span. */
const spreadLoads = (engines: number, fromSecond: number, seconds: number): readonly number[] =>
  Array.from(
    { length: engines },
    (_value, index) => fromSecond + (seconds * index) / (engines - 1),
  );

/** Load patterns, from the lightest to the heaviest. */
export const replayScenarios: readonly ReplayScenario[] = [
  {
    name: 'calm',
    pattern: 'arrivals well below what the engines serve',
    fleet: { ...fleet, engines: alwaysServing(6) },
    traffic: steadyTraffic(30),
  },
  {
    name: 'brim',
    pattern: 'arrivals at about what the engines serve',
    fleet: { ...fleet, engines: alwaysServing(6) },
    traffic: steadyTraffic(52),
  },
  {
    name: 'overload',
    pattern: 'arrivals a third above what the engines serve, for long',
    fleet: { ...fleet, engines: alwaysServing(6) },
    traffic: steadyTraffic(72),
  },
  {
    name: 'storm',
    pattern: 'twice what the engines serve, for long',
    fleet: { ...fleet, engines: alwaysServing(6) },
    traffic: steadyTraffic(110),
  },
  {
    name: 'growth',
    pattern: 'arrivals that rise past what six engines serve until four more are loaded',
    fleet: {
      ...fleet,
      engines: [
        ...alwaysServing(6),
        ...Array.from({ length: 4 }, () => ({ ...ALWAYS, fromSecond: 11 })),
      ],
    },
    traffic: {
      ...steadyTraffic(77),
      steps: [
        { from: 0, share: 0.55 },
        { from: 6, share: 0.7 },
        { from: 7.5, share: 0.85 },
        { from: 9, share: 1 },
      ],
    },
  },
  {
    name: 'outage',
    pattern: 'no engine serves for two and a half seconds, and refused callers come back together',
    fleet: {
      ...deskFleet,
      engines: [
        ...alwaysServing(19).map((period) => ({ ...period, untilSecond: 4 })),
        ...alwaysServing(19).map((period) => ({ ...period, fromSecond: 6.5 })),
      ],
    },
    traffic: { ...steadyTraffic(160), seconds: 12, kinds: deskKinds },
  },
  {
    name: 'switch',
    pattern: 'arrivals at three quarters of capacity while the engines load other weights in turn',
    fleet: { ...deskFleet, loadsAtSeconds: spreadLoads(19, 4, 2.8) },
    traffic: { ...steadyTraffic(160), seconds: 10, kinds: deskKinds },
  },
  {
    name: 'crashes',
    pattern: 'one request in twelve crashes the engine that begins to answer it',
    fleet: { ...fleet, engines: alwaysServing(10) },
    traffic: { ...steadyTraffic(40), crashing: { share: 1 / 12, fromSecond: 3 } },
  },
  {
    name: 'limits',
    pattern: 'two of ten engines name a limit far below their share of the arrivals',
    fleet: {
      ...fleet,
      engines: alwaysServing(10),
      limits: [
        { engine: 0, requestsPerSecond: 1, fromSecond: 3 },
        { engine: 1, requestsPerSecond: 1.4, fromSecond: 3 },
      ],
    },
    traffic: steadyTraffic(40),
  },
  {
    name: 'rests',
    pattern: 'two of ten engines refuse all requests and name a rest, one after the other',
    fleet: {
      ...fleet,
      engines: alwaysServing(10),
      rests: [
        { engine: 0, fromSecond: 4, untilSecond: 12, restMilliseconds: 1_000 },
        { engine: 1, fromSecond: 7, untilSecond: 15, restMilliseconds: 2_500 },
      ],
    },
    traffic: steadyTraffic(60),
  },
  {
    name: 'departures',
    pattern: 'two of ten engines leave, long before the directory lists it, and others fall silent',
    fleet: {
      ...fleet,
      engines: alwaysServing(10).map((period, index) =>
        index < 2 ? { ...period, untilSecond: 10 } : period,
      ),
      departures: [
        { engine: 0, fromSecond: 4 },
        { engine: 1, fromSecond: 5 },
      ],
      silences: [
        { engine: 2, atSecond: 6, milliseconds: 1_100 },
        { engine: 3, atSecond: 8, milliseconds: 1_400 },
      ],
    },
    traffic: steadyTraffic(60),
  },
];
