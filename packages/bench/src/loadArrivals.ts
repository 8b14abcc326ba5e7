import type { SeededRandom } from '@burdockrail/common/seededRandom.js';
import { PREFIX_BLOCK_CHARACTERS } from '@burdockrail/standins/enginePrompt.js';
import type { LoadOptions, TeamShare } from './loadOptions.js';

/** Request classes that are reported separately. */
export type LoadClass = 'model' | 'plain';

/** A generated request that has not been sent yet. */
export interface Arrival {
  readonly team: string;
  readonly class: LoadClass;
  /** Index of the entry that it is sent to. */
  readonly entry: number;
  readonly prompt: string;
  readonly key: string;
}

function chooseTeam(teams: readonly TeamShare[], random: SeededRandom): string {
  const totalShare = teams.reduce((sum, { share }) => sum + share, 0);
  let remaining = random.next() * totalShare;
  for (const { name, share } of teams) {
    remaining -= share;
    if (remaining < 0) return name;
  }
  return teams.at(-1)?.name ?? '';
}

/** Chooses the index of a prefix from a Zipf distribution. */
function choosePrefix(count: number, random: SeededRandom): number {
  const weights = Array.from({ length: count }, (_prefix, index) => 1 / (index + 1));
  const totalWeight = weights.reduce((sum, weight) => sum + weight, 0);
  let remaining = random.next() * totalWeight;
  const chosen = weights.findIndex((weight) => {
    remaining -= weight;
    return remaining < 0;
  });
  return Math.max(0, chosen);
}

function prefixText(number: number, blocks: number): string {
  const sentence = `Log of raft ${number}: the stove was lit at dawn. `;
  const characters = blocks * PREFIX_BLOCK_CHARACTERS;
  return sentence.repeat(Math.ceil(characters / sentence.length)).slice(0, characters);
}

/** Generates the next arrival; equal seeds give equal sequences. */
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
