import { execute } from '@oclif/core/execute';

/**
 * Runs the command that the process was started with and ends the process with its exit code.
 *
 * @param entryPoint - URL of the executable, next to whose package the commands are declared.
 */
export async function runCommandLine(entryPoint: string): Promise<void> {
  await execute({ dir: entryPoint });
}
