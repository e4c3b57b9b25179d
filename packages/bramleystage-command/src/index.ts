/** The operators' command. */
export {benchCommand} from './bench-command.js';
export {agentCommand, dumpCommand, entryCommand} from './daemon-commands.js';
export {type Stoppable, waitForStop} from './process-command.js';
export {readSettings, registerSettingOptions} from './setting-options.js';
export {siteCommand} from './site-command.js';
export {standInCommand} from './stand-in-commands.js';
export {tableCommand, tableSettings} from './table-command.js';
export {TableDesk, type TableDeskOptions} from './table-desk.js';
export {tableExitCodes} from './table-write.js';
