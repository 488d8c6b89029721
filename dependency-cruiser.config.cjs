/** Layers: base < kernel < plug-ins < binaries; a plug-in sees of another only its `common` folder. */
module.exports = {
	forbidden: [
		{
			name: 'base-knows-nothing-above',
			severity: 'error',
			from: { path: '^src/base/' },
			to: { path: '^src/(kernel|plugins|bin)/' }
		},
		{
			name: 'kernel-knows-no-plugin',
			severity: 'error',
			from: { path: '^src/kernel/' },
			to: { path: '^src/(plugins|bin)/' }
		},
		{ name: 'plugins-know-no-binary', severity: 'error', from: { path: '^src/plugins/' }, to: { path: '^src/bin/' } },
		{
			name: 'plugins-meet-in-common',
			severity: 'error',
			from: { path: '^src/plugins/([^/]+)/' },
			to: { path: '^src/plugins/[^/]+/', pathNot: '^src/plugins/($1/|[^/]+/common/)' }
		},
		{
			name: 'common-needs-no-node-folder',
			severity: 'error',
			from: { path: '^src/(kernel|plugins/[^/]+)/common/' },
			to: { path: '^src/(kernel|plugins/[^/]+)/node/' }
		},
		{ name: 'product-knows-no-platform', severity: 'error', from: { path: '^src/' }, to: { path: '^platform/' } },
		{
			name: 'product-needs-no-test',
			severity: 'error',
			from: { path: '^src/', pathNot: '/test/' },
			to: { path: '(^test/|/test/)' }
		},
		{
			name: 'no-circle',
			severity: 'error',
			from: {},
			to: { circular: true, viaOnly: { dependencyTypesNot: ['type-only'] } }
		}
	],
	options: {
		doNotFollow: { path: 'node_modules' },
		tsConfig: { fileName: 'tsconfig.json' },
		tsPreCompilationDeps: true,
		enhancedResolveOptions: {
			exportsFields: ['exports'],
			conditionNames: ['import', 'node', 'default'],
			extensions: ['.ts', '.js']
		}
	}
};
