/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Runs a process: loads its settings, creates its services, starts its contributions and shuts them down on a signal. */

import { watchFile } from 'node:fs';
import { parseArgs } from 'node:util';
import { IBodyAccount } from '../common/bodyAccount.js';
import { IEventLoopMonitor } from '../common/eventLoopMonitor.js';
import { InstantiationService } from '../common/instantiationService.js';
import { type IContribution, type ProcessKind, pluginRegistry } from '../common/pluginRegistry.js';
import './instanceSettings.js';
import './metricsListener.js';
import { BodyAccountService } from './bodyAccountService.js';
import { EventLoopMonitor } from './eventLoopMonitor.js';
import type { InstanceSettings } from './instanceSettings.js';
import { createLog, ILogService } from './logService.js';
import { IMetricsService, MetricsService } from './metricsService.js';
import { IAdminEndpoints, AdminEndpoints } from './adminEndpoints.js';
import { ISettingsService, formatDefaultSettings, readSettings, SettingsError } from './settingsService.js';

const EXIT_STOPPED = 0;
const EXIT_INVALID_SETTINGS = 2;
const EXIT_FAILED = 1;
const SETTINGS_POLL_MS = 2000;
/** Environment variable with the path of the settings file, used if the command line has none. */
const SETTINGS_ENVIRONMENT_VARIABLE = 'SHELFFIELD_SETTINGS';

/** Registers the peer transport of a binary. */
export type TransportProvider = (services: InstantiationService) => void;

function createServices(
	settings: ISettingsService,
	log: ILogService,
	provideTransport: TransportProvider
): InstantiationService {
	const services = new InstantiationService(pluginRegistry.services);
	services.set(ISettingsService, settings);
	services.set(ILogService, log);
	services.set(IMetricsService, new MetricsService());
	services.set(IBodyAccount, services.createInstance(BodyAccountService));
	services.set(IEventLoopMonitor, services.createInstance(EventLoopMonitor));
	services.set(IAdminEndpoints, new AdminEndpoints());
	provideTransport(services);
	return services;
}

async function drainAll(contributions: readonly IContribution[], log: ILogService): Promise<void> {
	for (const contribution of [...contributions].reverse()) {
		try {
			await contribution.drain?.();
		} catch (error) {
			log.error('drain failed', { task: 'host', error: (error as Error).message });
		}
	}
}

function stopOnSignal(contributions: IContribution[], services: InstantiationService, log: ILogService): void {
	let isStopping = false;
	const stop = (signal: string): void => {
		if (isStopping) {
			process.exit(EXIT_FAILED);
		}
		isStopping = true;
		log.info('stopping', { task: 'host', signal });
		void drainAll(contributions, log).then(() => {
			services.dispose();
			process.exit(process.exitCode ?? EXIT_STOPPED);
		});
	};
	process.on('SIGTERM', () => stop('SIGTERM'));
	process.on('SIGINT', () => stop('SIGINT'));
}

/** Reloads the settings on SIGHUP or when the modification time of the file changes; an invalid file is ignored. */
function watchSettingsFile(file: string, kind: ProcessKind, settings: ISettingsService, log: ILogService): void {
	const reload = (): void => {
		try {
			const changed = settings.reload(readSettings(file, kind));
			log.info('settings reloaded', { task: 'host', changed });
		} catch (error) {
			log.error('settings not reloaded; previous settings stay in effect', {
				task: 'host',
				error: (error as Error).message
			});
		}
	};
	process.on('SIGHUP', reload);
	watchFile(file, { interval: SETTINGS_POLL_MS, persistent: false }, reload);
}

function loadSettings(file: string, kind: ProcessKind): ISettingsService {
	try {
		return readSettings(file, kind);
	} catch (error) {
		if (!(error instanceof SettingsError)) {
			throw error;
		}
		process.stderr.write(`${error.message}\n`);
		process.exit(EXIT_INVALID_SETTINGS);
	}
}

/** Main function of a long-running binary; resolves once all contributions have started. */
export async function runProcess(kind: ProcessKind, provideTransport: TransportProvider): Promise<void> {
	const { values } = parseArgs({
		options: {
			settings: { type: 'string' },
			'print-defaults': { type: 'boolean' },
			help: { type: 'boolean', short: 'h' }
		}
	});
	if (values['print-defaults']) {
		process.stdout.write(`${formatDefaultSettings(kind)}\n`);
		return;
	}
	const file = values.settings ?? process.env[SETTINGS_ENVIRONMENT_VARIABLE];
	if (values.help || !file) {
		process.stdout.write(`usage: shelffield-${kind} --settings FILE | --print-defaults\n`);
		process.exitCode = values.help ? 0 : EXIT_INVALID_SETTINGS;
		return;
	}
	const settings = loadSettings(file, kind);
	const instance = settings.section<InstanceSettings>('instance');
	const log = createLog(instance.logLevel, { instance: instance.name, hall: instance.hall, region: instance.region });
	const services = createServices(settings, log, provideTransport);
	process.on('unhandledRejection', error => {
		log.error('unhandled rejection', { task: 'host', error: String((error as Error)?.stack ?? error) });
		process.exit(EXIT_FAILED);
	});
	const contributions = pluginRegistry.contributionsFor(kind).map(item => services.createInstance(item));
	stopOnSignal(contributions, services, log);
	watchSettingsFile(file, kind, settings, log);
	try {
		for (const contribution of contributions) {
			await contribution.start?.();
		}
	} catch (error) {
		log.error('start failed', { task: 'host', error: (error as Error).message });
		process.exit(EXIT_FAILED);
	}
	log.info('ready', { task: 'host', pid: process.pid });
}
