import { string as textArgument } from '@oclif/core/args';
import { OperatorCommand } from '../operatorCommand.js';

/** Looks into the data folder of a control process. */
export class SnapshotInspect extends OperatorCommand {
  static override summary = 'Show what a data folder holds; nothing in it is changed.';
  static override args = {
    folder: textArgument({
      required: true,
      description: 'data folder, or that of one group in it',
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
