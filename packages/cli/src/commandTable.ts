import type { Command } from '@oclif/core/command';
import { ClusterForm } from './commands/clusterForm.js';
import { ConfigApply } from './commands/configApply.js';
import { ConfigCheck } from './commands/configCheck.js';
import { ConfigPlan } from './commands/configPlan.js';
import { ConfigPrint } from './commands/configPrint.js';
import { ConfigShow } from './commands/configShow.js';
import { Events } from './commands/events.js';
import { Outcome } from './commands/outcome.js';
import { Report } from './commands/report.js';
import { RolloutWatch } from './commands/rolloutWatch.js';
import { SnapshotInspect } from './commands/snapshotInspect.js';
import { Status } from './commands/status.js';

/** All commands by their command words, joined by colons. */
export const commandTable: Readonly<Record<string, Command.Class>> = {
  'cluster:form': ClusterForm,
  'config:apply': ConfigApply,
  'config:check': ConfigCheck,
  'config:plan': ConfigPlan,
  'config:print': ConfigPrint,
  'config:show': ConfigShow,
  events: Events,
  outcome: Outcome,
  report: Report,
  'rollout:watch': RolloutWatch,
  'snapshot:inspect': SnapshotInspect,
  status: Status,
};
