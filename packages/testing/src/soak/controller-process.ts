/** A controller as it is built for deployment, in a process of its own. */
import type { ChildProcess } from 'node:child_process';
import { readFileSync } from 'node:fs';
import { createInterface } from 'node:readline';
import { parse as parseToml } from 'smol-toml';
import { spawnGuarded } from './child-guard.js';

const DEPLOY_FILE = 'deploy/service.toml';

/** Program and arguments that the deploy file names; the settings file comes after them. */
function deployedCommand(): [program: string, args: string[]] {
  const { run } = parseToml(readFileSync(DEPLOY_FILE, 'utf8'));
  if (typeof run !== 'string') throw new TypeError(`${DEPLOY_FILE}: run is missing`);
  const [program = '', ...args] = run.split(' ');
  return [program === 'node' ? process.execPath : program, args];
}

/** What is told of a controller's process. */
export interface ProcessEvents {
  /** A line of its log, as written. */
  line: (name: string, line: string) => void;
  /** It ended though nobody ended it. */
  endedByItself: (name: string, code: number | null) => void;
}

/** Starts, ends and pauses one controller; it signals no process but its own. */
export class ControllerProcess {
  private child: ChildProcess | null = null;

  constructor(
    readonly name: string,
    private readonly settingsFile: string,
    private readonly operatorFile: string,
    private readonly events: ProcessEvents,
  ) {}

  get pid(): number | undefined {
    return this.child?.pid;
  }

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
      this.events.line(this.name, line),
    );
    child.on('exit', (code) => {
      if (this.child !== child) return;
      this.child = null;
      this.events.endedByItself(this.name, code);
    });
  }

  /** Ends it at once, without any notice. */
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
