import { string as stringArgument } from '@oclif/core/args';
import { OperatorCommand } from '../operatorCommand.js';

/** Prints the contents of the data folder of a control process. */
export class SnapshotInspect extends OperatorCommand {
  static override summary = 'Show the contents of a data folder without changing it.';
  static override args = {
    folder: stringArgument({
      required: true,
      description: 'data folder, or the folder of one group in it',
    }),
  };

  async run(): Promise<unknown> {
    const { args } = await this.parse(SnapshotInspect);
    const { inspectDataFolder, inspectionLines } = await import('../dataFolderInspection.js');
    const groups = await inspectDataFolder(args.folder);
    for (const group of groups) for (const line of inspectionLines(group)) this.log(line);
    return groups;
  }
}
