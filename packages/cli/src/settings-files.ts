/** Reads the settings files named on the command line. */
import { readFileSync } from 'node:fs';
import { cancellationLimitProblem } from '@tealdock/controller';
import { SettingsError, parseOperatorSettings, parseSettings } from '@tealdock/wire';
import type { OperatorSettings, Settings } from '@tealdock/wire';
import { CommandError, EXIT_CODES } from './command-error.js';

/** Paths of the settings files. */
export interface SettingsFiles {
  config: string;
  /** If undefined, the operators' settings have their defaults. */
  operator?: string;
}

/** Reads and checks the files; throws `CommandError` naming the file and the problem. */
export function readSettingsFiles(files: SettingsFiles): {
  settings: Settings;
  operator: OperatorSettings;
} {
  const settings = parseFile(files.config, parseSettings);
  const problem = cancellationLimitProblem(settings);
  if (problem !== null) throw usageError(`${files.config}: ${problem}`);
  const operator = files.operator
    ? parseFile(files.operator, parseOperatorSettings)
    : parseOperatorSettings('');
  return { settings, operator };
}

function parseFile<T>(file: string, parse: (text: string) => T): T {
  try {
    return parse(readFileSync(file, 'utf8'));
  } catch (error) {
    const reason =
      error instanceof SettingsError
        ? error.message
        : ((error as NodeJS.ErrnoException).code ?? 'unreadable');
    throw usageError(`${file}: ${reason}`, error);
  }
}

const usageError = (message: string, cause?: unknown): CommandError =>
  new CommandError(message, EXIT_CODES.usage, { cause });
