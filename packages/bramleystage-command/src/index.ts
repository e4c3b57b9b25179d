/** The subcommands of the `bramleystage` command and helpers to build further ones. */
export {benchCommand} from './bench-command.js';
export {agentCommand, dumpCommand, entryCommand} from './daemon-commands.js';
export {type Stoppable, waitForStop} from './process-command.js';
export {readSettings, registerSettingOptions} from './setting-options.js';
export {siteCommand} from './site-command.js';
export {standInCommand} from './stand-in-commands.js';
export {tableCommand, tableSettings} from './table-command.js';
export {TableClient, type TableClientOptions} from './table-client.js';
export {tableExitCodes} from './table-write.js';
