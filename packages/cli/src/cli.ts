/** The commands of `tealdock`. */
import { readFileSync } from 'node:fs';
import { Command, Option } from 'commander';
import { WireError, parseOperatorSettings, parseSettings } from '@tealdock/wire';
import type { OperatorSettings, Settings } from '@tealdock/wire';
import { cancellationLimitProblem } from '@tealdock/controller';
import { cancelJob, jobStatus, nodeStats, submitJob } from './client.js';
import { serve } from './serve.js';

const VERSION = '0.1.0';
/** Exit codes: 0 fine, 1 the service said no or did not answer, 2 bad usage or settings. */
const EXIT_USAGE = 2;

interface FileOptions {
  config: string;
  operator?: string;
}

/** Ends the process with one line on standard error. */
function fail(message: string, code: number): never {
  process.stderr.write(`tealdock: ${message}\n`);
  process.exit(code);
}

function read<T>(file: string, parse: (text: string) => T): T {
  try {
    return parse(readFileSync(file, 'utf8'));
  } catch (error) {
    const known = error instanceof WireError;
    const code = (error as NodeJS.ErrnoException).code;
    return fail(`${file}: ${known ? error.message : (code ?? 'unreadable')}`, EXIT_USAGE);
  }
}

function readSettings(options: FileOptions): { settings: Settings; operator: OperatorSettings } {
  const settings = read(options.config, parseSettings);
  const problem = cancellationLimitProblem(settings);
  if (problem !== null) fail(`${options.config}: ${problem}`, EXIT_USAGE);
  const operator = options.operator
    ? read(options.operator, parseOperatorSettings)
    : parseOperatorSettings('');
  return { settings, operator };
}

function withFiles(command: Command): Command {
  return command
    .requiredOption('--config <file>', "the platform's settings (TOML)")
    .option('--operator <file>', "the operators' own settings (INI)");
}

function withNode(command: Command): Command {
  return command.addOption(
    new Option('--node <ip:port>', 'public address of a controller or load balancer')
      .env('TEALDOCK_NODE')
      .makeOptionMandatory(),
  );
}

/** Runs the command that the arguments name. */
export async function runCli(argv: string[]): Promise<void> {
  const program = new Command('tealdock')
    .description('Schedules jobs on rented and owned machines, through failures.')
    .version(VERSION)
    .exitOverride((e) => process.exit(e.exitCode === 0 ? 0 : EXIT_USAGE));
  withFiles(program.command('serve'))
    .description('run a controller node until it is killed')
    .action((options: FileOptions) => {
      const { settings, operator } = readSettings(options);
      serve(settings, operator, (message) => fail(message, 1));
    });
  withFiles(program.command('check-config'))
    .description('check settings files and say what is wrong')
    .action((options: FileOptions) => {
      const { settings } = readSettings(options);
      process.stdout.write(`ok: ${settings.member} with ${settings.peers.length} peers\n`);
    });
  withNode(program.command('submit'))
    .description('submit a job described in a TOML file, with the field names of POST /api/jobs')
    .argument('<file>')
    .action((file: string, options: { node: string }) => submitJob(options.node, file, fail));
  withNode(program.command('status'))
    .description('show the state of a job')
    .argument('<job>')
    .action((job: string, options: { node: string }) => jobStatus(options.node, job, fail));
  withNode(program.command('stats'))
    .description("show one controller's counters and histograms")
    .action((options: { node: string }) => nodeStats(options.node, fail));
  withNode(program.command('cancel'))
    .description('cancel a job')
    .argument('<job>')
    .action((job: string, options: { node: string }) => cancelJob(options.node, job, fail));
  await program.parseAsync(argv);
}
