import type { ReplicatedState } from '../src/replicatedState.js';

export type ListState = ReplicatedState<unknown, unknown, unknown, unknown>;

/** Creates a state that lists all commands; results and answers are the length of the list. */
export function createListState(record: (position: number, command: number) => void): ListState {
  let commands: number[] = [];
  return {
    apply: (command) => {
      commands.push(command as number);
      record(commands.length, command as number);
      return commands.length;
    },
    query: () => commands.length,
    snapshot: () => [...commands],
    restore: (snapshot) => {
      commands = [...(snapshot as number[])];
      commands.forEach((command, index) => {
        record(index + 1, command);
      });
    },
  };
}
