import type { DataCentreProgress, RolloutProgress, ServiceProgress } from './rolloutProgress.js';

/** Width of a progress bar, in characters. */
const BAR_CHARACTERS = 24;

/** Formats rollout progress: a line for each service, followed by a bar for each data centre. */
export function rolloutLines(progress: RolloutProgress): readonly string[] {
  return progress.services.flatMap(serviceLines);
}

function serviceLines({ service, model, version, dataCentres }: ServiceProgress): string[] {
  const width = Math.max(...dataCentres.map(({ dataCentre }) => dataCentre.length));
  const bars = dataCentres.map((dataCentre) => `  ${barLine(dataCentre, width)}`);
  return [`${service}: ${model} ${version}`, ...bars];
}

function barLine(progress: DataCentreProgress, width: number): string {
  const { dataCentre, expected, present, live, share } = progress;
  const filledCharacters = Math.floor(share * BAR_CHARACTERS);
  const bar = '#'.repeat(filledCharacters).padEnd(BAR_CHARACTERS, '-');
  const percent = `${Math.floor(share * 100)}%`.padStart(4);
  const absent = present < expected ? `, ${expected - present} absent` : '';
  return `${dataCentre.padEnd(width)} [${bar}] ${percent} ${live} of ${expected} live${absent}`;
}
