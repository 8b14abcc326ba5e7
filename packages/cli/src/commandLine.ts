import { execute } from '@oclif/core/execute';

/**
 * Runs the command in the process arguments and exits with its exit code.
 *
 * @param entryPoint - URL of the executable; its package declares the commands.
 */
export async function runCommandLine(entryPoint: string): Promise<void> {
  await execute({ dir: entryPoint });
}
