import type { TraitFinding } from '@burdockrail/protocol/protocolDirectory.js';

/** Most crashes kept for processes that have not received them. */
const MAXIMUM_CRASHES = 500;

/** Most verdicts kept; a process that starts later receives all of them. */
const MAXIMUM_VERDICTS = 500;

/** Findings of entries, as one control process relays them. */
export interface FindingLog {
  /** Revision of the newest finding; 0 without any. */
  readonly revision: number;
  /** Adds findings that are not known yet; returns whether there were any. */
  add(findings: readonly TraitFinding[]): boolean;
  since(revision: number): readonly TraitFinding[];
}

interface NumberedFinding {
  readonly revision: number;
  readonly finding: TraitFinding;
}

/** Identity of a crash: other processes report the same one again. */
function crashKey(finding: TraitFinding): string | null {
  if (finding.kind !== 'crash') return null;
  const { content, upstream, startedAt } = finding;
  return `${content} ${upstream} ${startedAt}`;
}

/**
 * Creates an empty log.
 *
 * @remarks
 * Of opposite verdicts on a trait `sound` is kept, in whichever order they arrive: two control
 * processes that relay to each other must come to the same one.
 */
export function createFindingLog(): FindingLog {
  const crashes = new Map<string, NumberedFinding>();
  const verdicts = new Map<string, NumberedFinding>();
  let revision = 0;

  const isKnown = (finding: TraitFinding): boolean => {
    const key = crashKey(finding);
    if (key !== null) return crashes.has(key);
    if (finding.kind === 'crash') return false;
    const verdict = verdicts.get(finding.trait)?.finding.kind;
    return verdict === 'sound' || verdict === finding.kind;
  };

  const append = (
    target: Map<string, NumberedFinding>,
    key: string,
    finding: TraitFinding,
    maximumSize: number,
  ): void => {
    revision += 1;
    target.delete(key);
    target.set(key, { revision, finding });
    const [oldest] = target.keys();
    if (target.size > maximumSize && oldest !== undefined) target.delete(oldest);
  };

  return {
    get revision() {
      return revision;
    },
    add: (findings) => {
      const before = revision;
      for (const finding of findings) {
        if (isKnown(finding)) continue;
        if (finding.kind === 'crash')
          append(crashes, crashKey(finding) ?? '', finding, MAXIMUM_CRASHES);
        else append(verdicts, finding.trait, finding, MAXIMUM_VERDICTS);
      }
      return revision > before;
    },
    since: (known) =>
      [...crashes.values(), ...verdicts.values()]
        .filter((item) => item.revision > known)
        .sort((left, right) => left.revision - right.revision)
        .map(({ finding }) => finding),
  };
}
