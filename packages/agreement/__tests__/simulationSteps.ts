/** Kinds of steps of a schedule, the frequent ones several times. */
export const stepKinds = [
  ...Array<'turn'>(140).fill('turn'),
  ...Array<'propose'>(20).fill('propose'),
  ...Array<'query'>(20).fill('query'),
  'advance',
  'weather',
  'sync',
  'crash',
  'crashLeader',
  'crashMemory',
  'crashAll',
  'wipe',
  'freezeLeader',
  'thaw',
  'thaw',
  'isolate',
  'isolateLeader',
  'cutOneWay',
  'split',
  'heal',
  'heal',
  'heal',
] as const;

/** One step; `first` and `second` choose among what is there. */
export interface Step {
  readonly kind: (typeof stepKinds)[number];
  readonly first: number;
  readonly second: number;
}

/** Shares of messages and syncs in one turn that go through, are lost or come twice. */
export interface Weather {
  readonly delivered: number;
  readonly lost: number;
  readonly doubled: number;
  readonly synced: number;
}

/** Everything arrives and is synced. */
export const calm: Weather = { delivered: 1, lost: 0, doubled: 0, synced: 1 };
/** Weathers that a schedule chooses among. */
export const weathers: readonly Weather[] = [
  calm,
  { delivered: 0.9, lost: 0.02, doubled: 0.05, synced: 0.6 },
  { delivered: 0.6, lost: 0.1, doubled: 0.1, synced: 0.2 },
  { delivered: 0.8, lost: 0, doubled: 0, synced: 0.05 },
];
