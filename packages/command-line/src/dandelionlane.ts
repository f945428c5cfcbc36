import createTerminal from './lib/createTerminal.js';
import runCommandLine from './lib/runCommandLine.js';

process.exitCode = await runCommandLine(createTerminal(), process.argv);
