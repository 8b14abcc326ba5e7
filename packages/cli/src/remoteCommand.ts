import { string as stringFlag } from '@oclif/core/flags';
import { CLIError } from '@oclif/core/errors';
import { ExitCode } from './exitCode.js';
import { OperatorCommand } from './operatorCommand.js';
import type { OperatorTargets } from './operatorTarget.js';

/** Flags that select the processes to call. */
export interface TargetFlags {
  readonly profile?: string | undefined;
  readonly control?: string | undefined;
  readonly entry?: string | undefined;
  readonly http?: string | undefined;
}

const noTargets: OperatorTargets = { control: [], entries: [], http: [] };

/** Base of all commands that call running processes. */
export abstract class RemoteCommand extends OperatorCommand {
  static override baseFlags = {
    profile: stringFlag({
      description: 'YAML file that lists the processes of the fleet',
      env: 'BURDOCKRAIL_PROFILE',
      helpGroup: 'TARGET',
    }),
    control: stringFlag({
      description: 'addresses of control processes, host:port,...',
      helpGroup: 'TARGET',
    }),
    entry: stringFlag({
      description: 'addresses of entry processes, host:port,...',
      helpGroup: 'TARGET',
    }),
    http: stringFlag({
      description: 'addresses of the HTTP ports of entries, host:port,...',
      helpGroup: 'TARGET',
    }),
  };

  /** Resolves the processes to call; a flag takes precedence over the list in the profile. */
  protected async resolveTargets(
    flags: TargetFlags,
    required: keyof OperatorTargets,
  ): Promise<OperatorTargets> {
    const { parseAddresses, createTargets } = await import('./operatorTarget.js');
    const profile = flags.profile === undefined ? noTargets : await this.readProfile(flags.profile);
    const targets = {
      control:
        flags.control === undefined
          ? profile.control
          : createTargets(parseAddresses(flags.control)),
      entries:
        flags.entry === undefined ? profile.entries : createTargets(parseAddresses(flags.entry)),
      http: flags.http === undefined ? profile.http : parseAddresses(flags.http),
    };
    if (targets[required].length > 0) return targets;
    const flag = required === 'entries' ? 'entry' : required;
    throw new CLIError(`no target: use --profile or --${flag}`, { exit: ExitCode.Usage });
  }

  private async readProfile(path: string): Promise<OperatorTargets> {
    const { readProfile } = await import('./operatorProfile.js');
    return readProfile(path);
  }
}
