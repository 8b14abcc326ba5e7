import type { SeededRandom } from '@burdockrail/common/seededRandom.js';
import { PREFIX_BLOCK_CHARACTERS } from '@burdockrail/standins/enginePrompt.js';
import type { LoadOptions, TeamShare } from './loadOptions.js';

/** Kinds of requests that are reported apart. */
export type LoadClass = 'model' | 'plain';

/** One request of the load before it is sent. */
export interface Arrival {
  readonly team: string;
  readonly class: LoadClass;
  /** Number of the entry that it goes to. */
  readonly entry: number;
  readonly prompt: string;
  readonly key: string;
}

function chooseTeam(teams: readonly TeamShare[], random: SeededRandom): string {
  const whole = teams.reduce((sum, { share }) => sum + share, 0);
  let left = random.next() * whole;
  for (const { name, share } of teams) {
    left -= share;
    if (left < 0) return name;
  }
  return teams.at(-1)?.name ?? '';
}

/** Chooses the number of a prefix with a chance that falls with the number (Zipf's law). */
function choosePrefix(count: number, random: SeededRandom): number {
  const weights = Array.from({ length: count }, (_prefix, index) => 1 / (index + 1));
  const whole = weights.reduce((sum, weight) => sum + weight, 0);
  let left = random.next() * whole;
  const chosen = weights.findIndex((weight) => {
    left -= weight;
    return left < 0;
  });
  return Math.max(0, chosen);
}

function prefixText(number: number, blocks: number): string {
  const sentence = `Log of raft ${number}: the stove was lit at dawn. `;
  const characters = blocks * PREFIX_BLOCK_CHARACTERS;
  return sentence.repeat(Math.ceil(characters / sentence.length)).slice(0, characters);
}

/** Makes the next arrival; equal seeds give equal sequences. */
export function nextArrival(
  options: LoadOptions,
  entries: number,
  number: number,
  random: SeededRandom,
): Arrival {
  const prefix = choosePrefix(options.prefixes, random);
  return {
    team: chooseTeam(options.teams, random),
    class: random.next() < options.plainShare ? 'plain' : 'model',
    entry: random.nextInteger(entries),
    prompt: `${prefixText(prefix, options.prefixBlocks)} Question ${number}.`,
    key: `load-${options.seed}-${number}`,
  };
}
