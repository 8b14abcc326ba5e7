import type { Command } from '@oclif/core/command';
import { ConfigCheck } from './commands/configCheck.js';
import { ConfigPrint } from './commands/configPrint.js';

/** All commands by their words, joined by colons. */
export const commandTable: Readonly<Record<string, Command.Class>> = {
  'config:check': ConfigCheck,
  'config:print': ConfigPrint,
};
