/** Kinds of steps in a schedule; repeated kinds are drawn more often. */
export const stepKinds = [
  ...Array<'timeStep'>(140).fill('timeStep'),
  ...Array<'propose'>(20).fill('propose'),
  ...Array<'query'>(20).fill('query'),
  'advance',
  'changeConditions',
  'sync',
  'crash',
  'crashLeader',
  'crashMemory',
  'crashAll',
  'wipeDisk',
  'pauseLeader',
  'resume',
  'resume',
  'isolate',
  'isolateLeader',
  'cutOneWay',
  'partition',
  'heal',
  'heal',
  'heal',
] as const;

/** One step; `first` and `second` select its target and its parameter. */
export interface Step {
  readonly kind: (typeof stepKinds)[number];
  readonly first: number;
  readonly second: number;
}

/** Probability that a message is delivered, lost or duplicated, and that a disk syncs, per round. */
export interface NetworkConditions {
  readonly delivered: number;
  readonly lost: number;
  readonly duplicated: number;
  readonly synced: number;
}

/** Every message is delivered and every write is synced. */
export const reliableConditions: NetworkConditions = {
  delivered: 1,
  lost: 0,
  duplicated: 0,
  synced: 1,
};
/** Conditions that a schedule selects from. */
export const networkConditions: readonly NetworkConditions[] = [
  reliableConditions,
  { delivered: 0.9, lost: 0.02, duplicated: 0.05, synced: 0.6 },
  { delivered: 0.6, lost: 0.1, duplicated: 0.1, synced: 0.2 },
  { delivered: 0.8, lost: 0, duplicated: 0, synced: 0.05 },
];
