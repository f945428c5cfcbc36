import type { Result, ResultAsync } from 'neverthrow';
import AdministrationClient from './AdministrationClient.js';
import type Command from './Command.js';
import type CommandContext from './CommandContext.js';
import EXIT_CODES from './EXIT_CODES.js';
import type ExitCode from './ExitCode.js';
import type Failure from './Failure.js';
import resolveConnectionOptions from './resolveConnectionOptions.js';
import runCheck from './runCheck.js';
import runDiff from './runDiff.js';
import runExplain from './runExplain.js';
import runOutOfService from './runOutOfService.js';
import runPublish from './runPublish.js';
import runShow from './runShow.js';
import runStatus from './runStatus.js';
import type Terminal from './Terminal.js';

type RemoteCommand = Exclude<Command, { readonly kind: 'check' | 'explain' }>;

function dispatchRemote(context: CommandContext, command: RemoteCommand): ResultAsync<void, Failure> {
  switch (command.kind) {
    case 'publish':
      return runPublish(context, command.fileName);
    case 'show':
      return runShow(context);
    case 'diff':
      return runDiff(context, command.fileName);
    case 'take-out':
    case 'bring-back':
      return runOutOfService(context, command.kind, command.subject);
    case 'status':
      return runStatus(context);
    default:
      return command satisfies never;
  }
}

async function runRemote(terminal: Terminal, command: RemoteCommand): Promise<Result<void, Failure>> {
  const connection = await resolveConnectionOptions(command.options);
  if (connection.isErr()) {
    return connection.map(() => undefined);
  }
  const client = new AdministrationClient(connection.value);
  const result = await dispatchRemote({ terminal, client, options: command.options }, command);
  await client.close();
  return result;
}

function runLocalOrRemote(terminal: Terminal, command: Command): PromiseLike<Result<void, Failure>> {
  switch (command.kind) {
    case 'check':
      return runCheck(terminal, command.fileName);
    case 'explain':
      return runExplain(terminal, command.request, command.fileNames);
    default:
      return runRemote(terminal, command);
  }
}

/** Runs a command and returns its exit code. Failures are written to the standard error. */
export default async function runCommand(terminal: Terminal, command: Command): Promise<ExitCode> {
  const result = await runLocalOrRemote(terminal, command);
  return result.match(() => EXIT_CODES.done, ({ exitCode, message }) => {
    terminal.writeError(message);
    return exitCode;
  });
}
