import { string as textFlag } from '@oclif/core/flags';
import { CLIError } from '@oclif/core/errors';
import { ExitCode } from './exitCode.js';
import { OperatorCommand } from './operatorCommand.js';
import type { OperatorTargets } from './operatorTarget.js';

/** Flags that name the processes to talk to. */
export interface TargetFlags {
  readonly profile?: string | undefined;
  readonly control?: string | undefined;
  readonly entry?: string | undefined;
  readonly http?: string | undefined;
}

const none: OperatorTargets = { control: [], entries: [], http: [] };

/** What all commands share that talk to running processes. */
export abstract class RemoteCommand extends OperatorCommand {
  static override baseFlags = {
    profile: textFlag({
      description: 'YAML file that lists the processes of the fleet',
      env: 'BURDOCKRAIL_PROFILE',
      helpGroup: 'TARGET',
    }),
    control: textFlag({
      description: 'addresses of control processes, host:port,...',
      helpGroup: 'TARGET',
    }),
    entry: textFlag({
      description: 'addresses of entry processes, host:port,...',
      helpGroup: 'TARGET',
    }),
    http: textFlag({
      description: 'addresses of the HTTP ports of entries, host:port,...',
      helpGroup: 'TARGET',
    }),
  };

  /** Processes that the flags and the profile name; a flag goes before the profile's list. */
  protected async targets(
    flags: TargetFlags,
    needed: keyof OperatorTargets,
  ): Promise<OperatorTargets> {
    const { parseAddresses, targetsOf } = await import('./operatorTarget.js');
    const profile = flags.profile === undefined ? none : await this.readProfile(flags.profile);
    const targets = {
      control:
        flags.control === undefined ? profile.control : targetsOf(parseAddresses(flags.control)),
      entries: flags.entry === undefined ? profile.entries : targetsOf(parseAddresses(flags.entry)),
      http: flags.http === undefined ? profile.http : parseAddresses(flags.http),
    };
    if (targets[needed].length > 0) return targets;
    const flag = needed === 'entries' ? 'entry' : needed;
    throw new CLIError(`no target: give --profile or --${flag}`, { exit: ExitCode.Usage });
  }

  private async readProfile(path: string): Promise<OperatorTargets> {
    const { readProfile } = await import('./operatorProfile.js');
    return readProfile(path);
  }
}
