import { parseWith, ServingError } from '@dandelionlane/core';
import {
  err, ok, type Result,
} from 'neverthrow';
import sade, { type Sade } from 'sade';
import type Command from './Command.js';
import CommandOptions from './CommandOptions.js';
import parseSubject from './parseSubject.js';
import VERSION from './VERSION.js';

type ParsedCommand = Result<Command, ServingError>;

/** Options as parsed by sade; `_` holds surplus positional arguments. */
type RawOptions = Readonly<Record<string, unknown>> & { readonly _: readonly string[] };

function parseOptions(raw: RawOptions): Result<CommandOptions, ServingError> {
  return raw._.length > 0
    ? err(new ServingError(`unexpected argument ${raw._.join(' ')}`, { kind: 'malformed-request' }))
    : parseWith(CommandOptions, raw, 'malformed-request');
}

function parseOutOfService(
  command: 'take-out' | 'bring-back',
  kind: string,
  name: string,
  raw: RawOptions,
): ParsedCommand {
  return parseOptions(raw).andThen((options) => (
    parseSubject(kind, name).map((subject) => ({ kind: command, subject, options }))
  ));
}

function addWaitOptions(program: Sade): Sade {
  return program
    .option('--wait', 'Wait until the change is in force at every entry')
    .option('--timeout', 'Longest wait in seconds; 60 if not given');
}

function addReleaseNoteCommands(program: Sade): void {
  addWaitOptions(program.command('publish <file>')
    .describe('Publish a release note.'))
    .example('publish note.jsonc --wait --entry 10.0.0.1:7071 --token-file token')
    .action((fileName: string, raw: RawOptions): ParsedCommand => (
      parseOptions(raw).map((options) => ({ kind: 'publish', fileName, options }))
    ));
  program.command('diff <file>')
    .describe('Print what a release note would make different, and whether it would be refused now.')
    .action((fileName: string, raw: RawOptions): ParsedCommand => (
      parseOptions(raw).map((options) => ({ kind: 'diff', fileName, options }))
    ));
  program.command('check <file>')
    .describe('Check a release note file without talking to any entry.')
    .action((fileName: string, raw: RawOptions): ParsedCommand => (
      parseOptions(raw).map(() => ({ kind: 'check', fileName }))
    ));
}

function addLogCommands(program: Sade): void {
  program.command('explain <request>')
    .describe('Print the course of a request from log files: how it ended, its attempts, and what changed around it.')
    .option('--log', 'Log file of an entry, JSON lines; repeat it for the other entries')
    .example('explain 9c41d07be2a35f68 --log entry-1.log --log entry-2.log')
    .action((request: string, raw: RawOptions): ParsedCommand => parseOptions(raw).andThen(({ log }) => (
      log.length === 0
        ? err(new ServingError('explain needs --log FILE', { kind: 'malformed-request' }))
        : ok({ kind: 'explain' as const, request, fileNames: log })
    )));
}

function addReadCommands(program: Sade): void {
  program.command('show')
    .describe('Print the release state: services, team weights and what is out of service.')
    .action((raw: RawOptions): ParsedCommand => parseOptions(raw)
      .map((options) => ({ kind: 'show', options })));
  program.command('status')
    .describe('Print the entries and replicas as the answering entry sees them.')
    .action((raw: RawOptions): ParsedCommand => parseOptions(raw)
      .map((options) => ({ kind: 'status', options })));
}

function addOutOfServiceCommands(program: Sade): void {
  addWaitOptions(program.command('take-out <zone|vm> <name>')
    .describe('Take an availability zone or a VM out of service.'))
    .example('take-out zone zone-a --wait')
    .action((kind: string, name: string, raw: RawOptions) => parseOutOfService('take-out', kind, name, raw));
  addWaitOptions(program.command('bring-back <zone|vm> <name>')
    .describe('Bring an availability zone or a VM back into service.'))
    .example('bring-back zone zone-a --wait')
    .action((kind: string, name: string, raw: RawOptions) => parseOutOfService('bring-back', kind, name, raw));
}

/** Defines commands and options. Each action returns the parsed command without running it. */
export default function buildProgram(): Sade {
  const program = sade('dandelionlane')
    .version(VERSION)
    .option('--entry', 'Administration address of an entry, HOST:PORT; repeat it for more entries')
    .option('--token-file', 'File that holds the operators\' token')
    .option('--settings', 'Settings file with entries and tokenFile')
    .option('--json', 'Print JSON');
  addReleaseNoteCommands(program);
  addReadCommands(program);
  addOutOfServiceCommands(program);
  addLogCommands(program);
  return program;
}
