/** Runs the built controller in a child process, with the command of the deploy file. */
import type { ChildProcess } from 'node:child_process';
import { readFileSync } from 'node:fs';
import { createInterface } from 'node:readline';
import { parse as parseToml } from 'smol-toml';
import { spawnGuarded } from './child-guard.js';

const DEPLOY_FILE = 'deploy/service.toml';

/** Program and arguments from the deploy file; the caller appends the path of the settings file. */
export function deployedCommand(): [program: string, args: string[]] {
  const { run } = parseToml(readFileSync(DEPLOY_FILE, 'utf8'));
  if (typeof run !== 'string') throw new TypeError(`${DEPLOY_FILE}: run is missing`);
  const [program = '', ...args] = run.split(' ');
  return [program === 'node' ? process.execPath : program, args];
}

/** Callbacks for a controller's process. */
export interface ProcessEvents {
  /** Receives each line that the controller logs, unparsed. */
  onLogLine: (name: string, line: string) => void;
  /** The process ended without `kill`; `code` is null if a signal ended it. */
  onUnexpectedExit: (name: string, code: number | null) => void;
}

/** Starts, kills, pauses and resumes one controller; signals no other process. */
export class ControllerProcess {
  private child: ChildProcess | null = null;

  constructor(
    readonly name: string,
    private readonly settingsFile: string,
    private readonly operatorFile: string,
    private readonly events: ProcessEvents,
  ) {}

  /** Process id; undefined while the controller is not running. */
  get pid(): number | undefined {
    return this.child?.pid;
  }

  /** Does nothing if the process is already running. */
  start(): void {
    if (this.child) return;
    const [program, args] = deployedCommand();
    const allArgs = [...args, this.settingsFile, '--operator', this.operatorFile];
    const child = spawnGuarded(program, allArgs, {
      stdio: ['ignore', 'ignore', 'pipe'],
      env: { ...process.env, LOG_LEVEL: process.env['SOAK_LOG_LEVEL'] ?? 'info' },
    });
    this.child = child;
    createInterface({ input: child.stderr! }).on('line', (line) =>
      this.events.onLogLine(this.name, line),
    );
    child.on('exit', (code) => {
      if (this.child !== child) return;
      this.child = null;
      this.events.onUnexpectedExit(this.name, code);
    });
  }

  /** Sends SIGKILL, so that the controller can't shut down in order. */
  kill(): void {
    const child = this.child;
    this.child = null;
    child?.kill('SIGKILL');
  }

  pause(): void {
    this.child?.kill('SIGSTOP');
  }

  resume(): void {
    this.child?.kill('SIGCONT');
  }
}
