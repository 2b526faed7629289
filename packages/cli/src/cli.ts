/** The commands of `tealdock`. */
import { Command, Option } from 'commander';
import { cancelJob, jobStatus, nodeStats, submitJob } from './client.js';
import { CommandError, EXIT_CODES } from './command-error.js';
import { serve } from './serve.js';
import { readSettingsFiles, type SettingsFiles } from './settings-files.js';

const VERSION = '0.1.0';

/** Options of the commands that talk to a running node. */
interface NodeOptions {
  node: string;
}

/** Runs the command that the arguments name, and ends the process with its exit code. */
export async function runCli(argv: string[]): Promise<void> {
  try {
    await buildProgram().parseAsync(argv);
  } catch (error) {
    if (!(error instanceof CommandError)) throw error;
    process.stderr.write(`tealdock: ${error.message}\n`);
    process.exit(error.exitCode);
  }
}

function buildProgram(): Command {
  const program = new Command('tealdock')
    .description('Schedules jobs on rented and owned machines, through failures.')
    .version(VERSION)
    .exitOverride((error) =>
      process.exit(error.exitCode === EXIT_CODES.ok ? EXIT_CODES.ok : EXIT_CODES.usage),
    );
  addNodeCommands(program);
  addClientCommands(program);
  return program;
}

/** Commands that read settings files. */
function addNodeCommands(program: Command): void {
  withSettingsFiles(program.command('serve'))
    .description('run a controller node until it is killed')
    .action(async (files: SettingsFiles) => {
      const { settings, operator } = readSettingsFiles(files);
      await serve(settings, operator);
    });
  withSettingsFiles(program.command('check-config'))
    .description('check settings files and say what is wrong')
    .action((files: SettingsFiles) => {
      const { settings } = readSettingsFiles(files);
      process.stdout.write(`ok: ${settings.member} with ${settings.peers.length} peers\n`);
    });
}

/** Commands that talk to a running node. */
function addClientCommands(program: Command): void {
  withNode(program.command('submit'))
    .description('submit a job described in a TOML file, with the field names of POST /api/jobs')
    .argument('<file>')
    .action((file: string, { node }: NodeOptions) => submitJob(node, file));
  withNode(program.command('status'))
    .description('show the state of a job')
    .argument('<job>')
    .action((job: string, { node }: NodeOptions) => jobStatus(node, job));
  withNode(program.command('stats'))
    .description("show one controller's counters and histograms")
    .action(({ node }: NodeOptions) => nodeStats(node));
  withNode(program.command('cancel'))
    .description('cancel a job')
    .argument('<job>')
    .action((job: string, { node }: NodeOptions) => cancelJob(node, job));
}

function withSettingsFiles(command: Command): Command {
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
