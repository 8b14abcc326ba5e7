import type { ReplayResult } from './replayTypes.js';

/** Time from the answer of an engine until a request may no longer arrive, in milliseconds. */
const SLACK_MILLISECONDS: Readonly<Record<'rests' | 'leaves', number>> = {
  rests: 500,
  leaves: 2_000,
};

/** Requests that engines got from entries that they had asked for none. */
export interface NoticeCounts {
  /** Most requests from one entry during one rest. */
  readonly mostDuringRest: number;
  /** Requests during rests and after notices of a departure, each counted once. */
  readonly duringRests: number;
  readonly afterDepartures: number;
}

/** Counts requests that reached engines in spite of what these had said to the entry. */
export function countUnwanted(results: readonly ReplayResult[]): NoticeCounts {
  const sendings = results.flatMap(({ sent }) => sent);
  const notices = results.flatMap((result) => result.notices);
  const isUnwanted = (
    { engine, entry, at }: (typeof sendings)[number],
    notice: (typeof notices)[number],
  ): boolean =>
    engine === notice.engine &&
    entry === notice.entry &&
    at > notice.at + SLACK_MILLISECONDS[notice.kind] &&
    at < notice.until;
  const rests = notices.filter(({ kind }) => kind === 'rests');
  const departures = notices.filter(({ kind }) => kind === 'leaves');
  return {
    mostDuringRest: Math.max(
      0,
      ...rests.map((rest) => sendings.filter((sending) => isUnwanted(sending, rest)).length),
    ),
    duringRests: sendings.filter((sending) => rests.some((rest) => isUnwanted(sending, rest)))
      .length,
    afterDepartures: sendings.filter((sending) =>
      departures.some((departure) => isUnwanted(sending, departure)),
    ).length,
  };
}

/** Adds the counts of several runs. */
export function sumUnwanted(counts: readonly NoticeCounts[]): NoticeCounts {
  return counts.reduce(
    (sum, next) => ({
      mostDuringRest: Math.max(sum.mostDuringRest, next.mostDuringRest),
      duringRests: sum.duringRests + next.duringRests,
      afterDepartures: sum.afterDepartures + next.afterDepartures,
    }),
    { mostDuringRest: 0, duringRests: 0, afterDepartures: 0 },
  );
}
