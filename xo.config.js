const config = [
	{ignores: ['**/dist/**', '**/generated/**', 'out/**']},
	{
		prettier: true,
		rules: {
			// Tasks await in sequence on purpose: one step follows another.
			'no-await-in-loop': 'off',
			// Decorated constructors of tsyringe carry their parameters only.
			'@typescript-eslint/no-extraneous-class': 'off',
			// Constructors of purify-ts are called without new.
			'new-cap': [
				'error',
				{
					capIsNewExceptions: [
						'Left',
						'Right',
						'Just',
						'Nothing',
						'EitherAsync',
						'MaybeAsync',
					],
				},
			],
			// AVA runs what tsc emitted, so it does not know the sources as tests.
			'ava/no-ignored-test-files': 'off',
			// Metadata for decorators is installed by importing it.
			'import-x/no-unassigned-import': ['error', {allow: ['reflect-metadata']}],
			// Customary short names (req, res, ms, pos) stand in short scopes.
			'unicorn/prevent-abbreviations': 'off',
		},
	},
	{
		// A task's constructor lists what the container gives it.
		files: ['packages/*/src/**/*-task.ts'],
		rules: {'max-params': 'off'},
	},
];

export default config;
