import { toResultError } from '@burdockrail/common/outcome.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import { Command } from '@oclif/core/command';
import { failureLines, failureReport } from './commandFailure.js';
import { ExitCode } from './exitCode.js';

/** Error of the argument parser, which requests an exit code. */
interface ParserError extends Error {
  readonly oclif?: { readonly exit?: number };
}

function isParserError(error: Error): error is ParserError {
  return 'oclif' in error;
}

/** Base of all commands: adds `--json` and reports failures with result codes and exit codes. */
export abstract class OperatorCommand extends Command {
  static override enableJsonFlag = true;

  protected override async catch(error: Error): Promise<void> {
    if (isParserError(error)) throw error;
    const result = toResultError(error, ResultCode.InternalError);
    if (this.jsonEnabled()) this.logJson({ error: failureReport(result) });
    else for (const line of failureLines(result)) this.logToStderr(line);
    process.exitCode = ExitCode.Failure;
    return Promise.resolve();
  }
}
